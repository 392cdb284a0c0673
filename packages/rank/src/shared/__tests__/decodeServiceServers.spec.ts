import { ProtocolError } from "@magnolialock/kernel";
import test from "ava";
import * as fc from "fast-check";
import { decodeServiceServers } from "../decodeServiceServers.ts";

const SEED = 19;
const SERVER = { id: "i-1", address: "10.1.0.5:8080" };
const EXPERTS = { sets: 3, experts: 96, placesPerRank: 11, newPerPreparation: 4, copyMs: 50 };

test("an odd entry in an entry's list costs only itself", t => {
    const odd = [
        undefined,
        "x",
        { id: "", address: SERVER.address },
        { id: "i-2" },
        { id: "i-2", address: "10.1.0.5:0" },
        { id: "i-2", address: "10.1.0.5:65536" },
        { id: "i-2", address: "server.example:80" },
        { id: 7, address: SERVER.address },
    ];
    const { servers } = decodeServiceServers({ servers: [...odd, SERVER], experts: EXPERTS });
    t.deepEqual(servers.map(({ id }) => String(id)), ["i-1"]);
});

test("bounds of maps that cannot be kept are an error", t => {
    t.is(decodeServiceServers({ servers: [SERVER] }).experts, undefined);
    for (
        const changes of [{ sets: 0 }, { experts: 1e12 }, { placesPerRank: 0.5 }, { copyMs: -1 }, {
            sets: "3",
        }]
    ) {
        t.throws(() => decodeServiceServers({ servers: [], experts: { ...EXPERTS, ...changes } }), {
            instanceOf: ProtocolError,
        });
    }
});

test("no answer of an entry makes the decoder fail in another way", t => {
    const value = fc.jsonValue({ maxDepth: 4 });
    const answer = fc.oneof(
        value,
        fc.record({ servers: fc.array(value), experts: value }, { requiredKeys: [] }),
    );
    fc.assert(
        fc.property(answer, json => {
            try {
                return decodeServiceServers(json).servers.every(({ id }) => id !== "");
            }
            catch (error) {
                return error instanceof ProtocolError;
            }
        }),
        { seed: SEED, numRuns: 1_500 },
    );
    t.pass();
});
