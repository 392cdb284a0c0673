/**
 * Free ports for processes under test that are told their port before they listen on it.
 *
 * @packageDocumentation
 */

import { type Address, branded } from "@magnolialock/kernel";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";

/**
 * Ports below those that operating systems hand out by themselves, so that no outgoing connection and no listener
 * on port 0 takes one before it is used.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/**
 * Ports among which one process chooses: between the choice and its use another process may take a port, so those that run at
 * the same time choose among different ones, as far as their identifiers differ.
 */
const PORTS_PER_PROCESS = 2_000;
const OWN_FIRST_PORT = FIRST_PORT + process.pid * PORTS_PER_PROCESS % PORT_COUNT;
const MAX_TRIES = 100;

const returned = new Set<number>();

const isFree = async (port: number, host: string): Promise<boolean> => {
    const server = createServer();
    server.listen(port, host);
    try {
        await once(server, "listening");
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EADDRINUSE") {
            return false;
        }
        throw error;
    }
    server.close();
    await once(server, "close");
    return true;
};

/**
 * Finds a TCP port on which nothing listens. It returns no port twice within a process.
 *
 * @param host - address to listen on
 * @returns the port
 * @throws if no free port was found
 */
export const findFreePort = async (host = "127.0.0.1"): Promise<number> => {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
        const port = OWN_FIRST_PORT + randomInt(PORTS_PER_PROCESS);
        if (!returned.has(port) && await isFree(port, host)) {
            returned.add(port);
            return port;
        }
    }
    throw new Error(`no free port on ${host} in ${MAX_TRIES} tries`);
};

/** Finds a loopback address on which nothing listens. */
export const freeAddress = async (): Promise<Address> =>
    branded<Address>(`127.0.0.1:${await findFreePort()}`);
