/** Number of places of a service. Those of an endpoint with a limit count as far as it lets them be used. */
export interface PlaceCount {
    /** May be a fraction, since a limit may allow less than one running request on average. */
    total: number;
    free: number;
    /** The places at endpoints that aren't only tried again after a pause. */
    sound: number;
    /** The places at endpoints of the service's mean speed that would serve as much as all places. */
    weighted: number;
    /** Places that batch items release at once when preempted. */
    preemptable: number;
}
