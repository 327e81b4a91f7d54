import http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { HttpStore } from "./httpStore";

let server: http.Server | undefined;

afterEach(() => {
    server?.close();
    server?.closeAllConnections();
});

// The error ended the loop that reads documents, and with it the process.
describe("a response of the store that is not JSON", () => {
    it.each(["", "{", "[NaN]", "\u0000"])("is an unknown outcome: %j", async body => {
        server = http.createServer((_, response) => response.end(body));
        await new Promise<void>(resolve => server?.listen(0, "127.0.0.1", resolve));
        const store = new HttpStore(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, "i");
        expect((await store.list("config/"))._unsafeUnwrapErr().kind).toBe("unknown");
        expect((await store.get("config/a"))._unsafeUnwrapErr().kind).toBe("unknown");
    });
});
