import type { EndpointCrash } from "@heatherline/common";
import type { ReleaseRequest } from "./messages";
import type { PlaceGranter } from "./placeGranter";
import type { EndpointLimit, LeavingEndpoint, PlaceRelease } from "./types";

const RELEASE_TIMEOUT_MS = 500;

/** Collects what the coordinator and the deputy need to know, and sends it once in a turn of the event loop. */
export class GranterReports {
    private releases: PlaceRelease[] = [];
    private withdrawnAsks: string[] = [];
    private silentPlaces: string[] = [];
    private crashes: EndpointCrash[] = [];
    private leavingEndpoints: LeavingEndpoint[] = [];
    private limits: EndpointLimit[] = [];
    private sendTimer: NodeJS.Immediate | undefined;

    /**
     * @param granters - Coordinator and deputy; each gets every report while it can be reached.
     */
    constructor(private readonly granters: readonly PlaceGranter[]) {}

    /**
     * @param release - A place that is no longer used.
     */
    addRelease(release: PlaceRelease): void {
        this.releases.push(release);
        this.scheduleSend();
    }

    /**
     * @param askId - A place request that is no longer needed.
     */
    addWithdrawal(askId: string): void {
        this.withdrawnAsks.push(askId);
        this.scheduleSend();
    }

    /**
     * @param placeId - A place whose endpoint has sent nothing for too long; its request goes on.
     */
    addSilentPlace(placeId: string): void {
        this.silentPlaces.push(placeId);
        this.scheduleSend();
    }

    /**
     * @param crash - A crash of an endpoint that a part of a prompt may have caused.
     */
    addCrash(crash: EndpointCrash): void {
        this.crashes.push(crash);
        this.scheduleSend();
    }

    /**
     * @param endpoint - An endpoint that has said that it leaves.
     */
    addLeavingEndpoint(endpoint: LeavingEndpoint): void {
        this.leavingEndpoints.push(endpoint);
        this.scheduleSend();
    }

    /**
     * @param limit - What an endpoint has said of the requests that it takes.
     */
    addLimit(limit: EndpointLimit): void {
        this.limits.push(limit);
        this.scheduleSend();
    }

    private scheduleSend(): void {
        this.sendTimer ??= setImmediate(() => this.send());
    }

    private send(): void {
        this.sendTimer = undefined;
        const request = this.takeAll();
        for (const { getLocal, link, releaseMethod } of this.granters) {
            const local = getLocal();
            if (local !== undefined) {
                local.handleRelease(request);
            }
            else {
                // If the call is lost, the next full report of places corrects the count.
                void link.call(releaseMethod, request, RELEASE_TIMEOUT_MS);
            }
        }
    }

    private takeAll(): ReleaseRequest {
        const { releases, withdrawnAsks, silentPlaces, crashes, leavingEndpoints, limits } = this;
        this.releases = [];
        this.withdrawnAsks = [];
        this.silentPlaces = [];
        this.crashes = [];
        this.leavingEndpoints = [];
        this.limits = [];
        return {
            releases,
            withdrawnAsks,
            silentPlaces,
            ...crashes.length > 0 ? { crashes } : {},
            ...leavingEndpoints.length > 0 ? { leavingEndpoints } : {},
            ...limits.length > 0 ? { limits } : {},
        };
    }
}
