import { newRequestId } from "@heatherline/common";
import type { PlaceRequest } from "../src";

/**
 * @param changes - Fields that differ from an ordinary online request.
 * @returns A place request.
 */
export function newTestRequest(changes: Partial<PlaceRequest> = {}): PlaceRequest {
    return {
        askId: newRequestId(),
        instanceId: "a",
        dataCentre: "east",
        service: "lm",
        workClass: "online",
        organisation: "o",
        priority: 0,
        usefulForMs: 300,
        targetLatencyMs: 300,
        giveUpAfterMs: 3_000,
        dueInMs: 3_000,
        remainingMs: 0,
        allowedRegions: [],
        fingerprint: "",
        rate: undefined,
        excluded: [],
        ...changes,
    };
}
