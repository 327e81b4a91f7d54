import { install } from "@sinonjs/fake-timers";

/** Replaces timers and clocks of the process, so that a replay takes only as long as its computation. */
export class VirtualTime {
    private readonly clock = install({
        now: 0,
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });

    /**
     * Advances the virtual clock and runs the timers that are due.
     *
     * @param ms - Time to advance by, in milliseconds.
     */
    async advance(ms: number): Promise<void> {
        await this.clock.tickAsync(ms);
    }

    /** Restores the real timers and clocks of the process. */
    uninstall(): void {
        this.clock.uninstall();
    }
}
