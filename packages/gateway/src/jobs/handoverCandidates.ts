import type { MemberEntry } from "@heatherline/fleet";

/**
 * @param members - All instances.
 * @param self - This instance.
 * @param coordinator - The coordinator, if another instance is.
 * @returns Instances that may take over jobs of this one; the coordinator comes last because it has more load.
 */
export function getHandoverCandidates(
    members: readonly MemberEntry[],
    self: MemberEntry,
    coordinator: MemberEntry | undefined,
): MemberEntry[] {
    const others = members.filter(({ instanceId }) => instanceId !== self.instanceId);
    const rest = others.filter(({ instanceId }) => instanceId !== coordinator?.instanceId);
    return coordinator === undefined ? rest : [...rest, coordinator];
}
