import type { Coordinator } from "./coordinator";
import type { CoordinatorLink } from "./coordinatorLink";

/**
 * Who decides on a place request: the coordinator, or in fallback mode the deputy of the data centre, or this instance
 * alone.
 */
export type PlaceDecider = "coordinator" | "deputy" | "alone";

/** A coordinator or deputy, in this process or reached over a link. */
export interface PlaceGranter {
    readonly decider: "coordinator" | "deputy";
    readonly link: CoordinatorLink;
    /** @returns The coordinator or deputy, if it is this instance. */
    readonly getLocal: () => Coordinator | undefined;
    readonly placeMethod: string;
    readonly releaseMethod: string;
}
