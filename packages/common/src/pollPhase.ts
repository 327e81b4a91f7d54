/**
 * Calls a function after the event loop has read all that had arrived on its sockets when this was called, and accepted
 * all connections, in whichever phase that was.
 *
 * @param callback - The function.
 */
export function afterNextPoll(callback: () => void): void {
    // Only the second one is certain to follow a poll that has begun after the call.
    setImmediate(() => setImmediate(callback));
}
