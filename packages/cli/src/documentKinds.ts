import type { DocumentKind } from "@heatherline/config";

/** All kinds of documents that can be read with `get`. */
export const DOCUMENT_KINDS = [
    "service",
    "key",
    "data-centre",
    "instance",
    "quarantine",
] as const satisfies readonly DocumentKind[];
