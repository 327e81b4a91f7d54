import { GATEWAY_PROGRAM, type GatewayProcess } from "./gatewayProcess";
import { buildGateway, type OldBuild } from "./oldBuild";

/** The gateways of a fleet that run today's build or that of another commit, side by side. */
export class MixedBuilds {
    private constructor(private readonly oldBuild: OldBuild, private readonly random: () => number) {}

    /**
     * Builds the gateway of a commit.
     *
     * @param commit - Hash or name of the commit.
     * @param random - Returns random numbers from 0 up to 1.
     * @returns That build and today's.
     * @throws Error if the commit isn't in the history or can't be built.
     */
    static async create(commit: string, random: () => number): Promise<MixedBuilds> {
        return new MixedBuilds(await buildGateway(commit), random);
    }

    /** Path of the bundle of the commit. */
    get oldProgram(): string {
        return this.oldBuild.program;
    }

    /**
     * Selects the build that a gateway runs from its next start on.
     *
     * @param gateway - The gateway.
     * @returns Which build it is.
     */
    select(gateway: GatewayProcess): "old" | "today's" {
        const isOld = this.random() < 0.5;
        gateway.program = isOld ? this.oldProgram : GATEWAY_PROGRAM;
        return isOld ? "old" : "today's";
    }

    /** Removes the folder of the build. */
    remove(): void {
        this.oldBuild.remove();
    }
}
