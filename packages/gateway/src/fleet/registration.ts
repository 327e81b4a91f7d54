import { type Logger, sleep, withJitter } from "@heatherline/common";
import { MEMBER_KIND, type MemberEntry, type Versioned } from "@heatherline/fleet";
import type { ObjectStore } from "@heatherline/store";

const RETRY_DELAY_MS = 250;

/**
 * Registers this instance in the store, replacing the entry of an earlier process. Retries until it succeeds.
 *
 * @param store - The store.
 * @param self - This instance.
 * @param isStopping - Whether to stop retrying.
 * @param logger - Log of the instance.
 */
async function registerMember(
    store: ObjectStore,
    self: MemberEntry,
    isStopping: () => boolean,
    logger: Logger,
): Promise<void> {
    const path = `${MEMBER_KIND}/${self.instanceId}`;
    let version = 0;
    while (!isStopping()) {
        const written = await store.put(path, { ...self }, version);
        if (written.isOk()) {
            logger.info({ event: "registered", version: written.value });
            return;
        }
        if (written.error.kind === "conflict") {
            const read = await store.get(path);
            if (read.isOk()) {
                if (read.value?.value.incarnation === self.incarnation) {
                    return;
                }
                version = read.value?.version ?? 0;
                continue;
            }
        }
        await sleep(withJitter(RETRY_DELAY_MS));
    }
}

/** Keeps this instance registered. */
export class MemberRegistration {
    private isRegistering = false;
    private wasRegistered = false;

    /**
     * @param store - The store.
     * @param self - This instance.
     * @param isStopping - Whether this instance is stopping, and need not be registered any more.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly self: MemberEntry,
        private readonly isStopping: () => boolean,
        private readonly logger: Logger,
    ) {}

    /** Registers this instance; retries until it succeeds. */
    async register(): Promise<void> {
        this.isRegistering = true;
        await registerMember(this.store, this.self, this.isStopping, this.logger);
        this.isRegistering = false;
    }

    /**
     * Logs a change, and registers again if the registration was removed, which happens to an instance that was silent for too long.
     *
     * @param members - All registered instances, and the revision of their list.
     */
    onMembersChanged({ revision, value: members }: Versioned<readonly MemberEntry[]>): void {
        this.logger.info({ event: "members-changed", count: members.length, revision });
        const isRegistered = members.some(({ incarnation }) => incarnation === this.self.incarnation);
        if (!isRegistered && this.wasRegistered && !this.isRegistering && !this.isStopping()) {
            void this.register();
        }
        this.wasRegistered = isRegistered;
    }
}
