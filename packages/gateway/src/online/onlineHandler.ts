import type { AdmittedRequest } from "../callers/admission";
import type { OnlineDependencies } from "./onlineDependencies";
import { OnlineExchange } from "./onlineExchange";
import type { OnlineRequest } from "./onlineRequest";

/** Handles admitted online requests: gets places, sends the requests to endpoints and retries where that is safe. */
export class OnlineHandler {
    /**
     * @param deps - What the handler depends on.
     */
    constructor(private readonly deps: OnlineDependencies) {}

    /**
     * Handles one request until a response has been sent or the caller has disconnected.
     *
     * @param request - The request.
     * @param admitted - What the configuration grants it.
     */
    async handle(request: OnlineRequest, admitted: AdmittedRequest): Promise<void> {
        await new OnlineExchange(this.deps, request, admitted).run();
    }
}
