/** Time between two syncs of one instance for each instance of the fleet, so that a coordinator can handle them all. */
const LONG_POLL_PER_INSTANCE_MS = 3;
const MIN_LONG_POLL_MS = 250;
const MAX_LONG_POLL_MS = 500;
/** A coordinator counts an instance as silent shortly after that instance counts the coordinator as unreachable. */
const SILENCE_MARGIN_MS = 650;
const PLACE_EXPIRY_MARGIN_MS = 1_250;
const MAX_REPLY_AGE_MARGIN_MS = 400;
/** More than `MAX_REPLY_AGE_MARGIN_MS`, so that an instance knows that its jobs may be assigned before they are. */
const UNCLAIMED_MARGIN_MS = 700;

/**
 * @param instanceCount - Instances that follow the same coordinator.
 * @returns How long the coordinator may hold back a sync reply while there is no update, in milliseconds.
 */
export function getLongPollMs(instanceCount: number): number {
    return Math.min(MAX_LONG_POLL_MS, Math.max(MIN_LONG_POLL_MS, instanceCount * LONG_POLL_PER_INSTANCE_MS));
}

/**
 * @param instanceCount - Instances that follow the same coordinator.
 * @returns Time after which an instance without a heartbeat may be in fallback mode, in milliseconds.
 */
export function getSilenceTimeoutMs(instanceCount: number): number {
    return getLongPollMs(instanceCount) + SILENCE_MARGIN_MS;
}

/**
 * @param instanceCount - Instances that follow the same coordinator.
 * @returns Time after which the places of an instance without a heartbeat are given to others, in milliseconds.
 */
export function getPlaceExpiryMs(instanceCount: number): number {
    return getLongPollMs(instanceCount) + PLACE_EXPIRY_MARGIN_MS;
}

/**
 * @param instanceCount - Instances that follow the same coordinator.
 * @returns Highest age of the last answered sync at which no other instance has been assigned this one's jobs, in
 * milliseconds.
 */
export function getMaxReplyAgeMs(instanceCount: number): number {
    return 2 * getLongPollMs(instanceCount) + MAX_REPLY_AGE_MARGIN_MS;
}

/**
 * @param instanceCount - Instances that follow the same coordinator.
 * @returns Time after which a job that no instance reports is assigned to one, in milliseconds.
 */
export function getUnclaimedMs(instanceCount: number): number {
    return 2 * getLongPollMs(instanceCount) + UNCLAIMED_MARGIN_MS;
}
