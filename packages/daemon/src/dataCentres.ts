import type { ConfigReplica } from "@heatherline/config";
import { newShareEntry } from "@heatherline/limits";

/** The data centres of the fleet by the documents in force. Without any such document, only the instance's own one. */
export class DataCentres {
    /**
     * @param replica - The configuration in force.
     * @param own - The data centre of this instance.
     */
    constructor(private readonly replica: ConfigReplica, private readonly own: string) {}

    /** @returns All data centres, sorted. */
    getAll(): readonly string[] {
        const names = this.getDocuments().map(({ dataCentre }) => dataCentre);
        return names.length > 0 ? names.sort() : [this.own];
    }

    /** @returns The data centres that get new work, sorted. */
    getInUse(): readonly string[] {
        return this.getAll().filter(dataCentre => !this.replica.isDataCentreOut(dataCentre));
    }

    /**
     * @returns Entries of the data centres that have a share of each rate, sorted. The share of a data centre that has
     * ended is divided among the others.
     */
    getShareEntries(): readonly string[] {
        const documents = this.getDocuments();
        const entries = documents
            .filter(({ state }) => state !== "ended")
            .map(({ dataCentre, generation }) => newShareEntry(dataCentre, generation));
        return documents.length > 0 ? entries.sort() : [newShareEntry(this.own, 0)];
    }

    private getDocuments() {
        return this.replica.getDocuments("data-centre").filter(document => document.kind === "data-centre");
    }
}
