/**
 * Free ports for processes under test that are told their port before they listen on it.
 *
 * @packageDocumentation
 */

import { type Address, branded } from "@magnolialock/kernel";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer, type Server } from "node:net";

const LOOPBACK = "127.0.0.1";
/**
 * Ports below those that operating systems hand out by themselves, so that no outgoing connection and no listener
 * on port 0 takes one before it is used.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Ports that a process reserves at a time. The first one of a block is the lock of the others. */
const BLOCK_SIZE = 100;
const BLOCK_COUNT = PORT_COUNT / BLOCK_SIZE;

/** Ports of the own blocks that have not been returned. */
const reserved: number[] = [];
let reservation: Promise<void> | undefined;

/** Listens on a port, or returns `undefined` if it is in use. */
const tryListen = async (port: number, host: string): Promise<Server | undefined> => {
    const server = createServer();
    server.listen(port, host);
    try {
        await once(server, "listening");
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EADDRINUSE") {
            return undefined;
        }
        throw error;
    }
    return server;
};

const isFree = async (port: number, host: string): Promise<boolean> => {
    const server = await tryListen(port, host);
    if (!server) {
        return false;
    }
    server.close();
    await once(server, "close");
    return true;
};

/**
 * Reserves a block of ports for as long as the process runs: it listens on the first one, which the operating system allows
 * to one process only and ends with it. Test processes that run at the same time have no port in common, so none takes a port
 * between its choice and its use.
 */
const reserveBlock = async (): Promise<void> => {
    const start = randomInt(BLOCK_COUNT);
    for (let tries = 0; tries < BLOCK_COUNT; tries++) {
        const lockPort = FIRST_PORT + (start + tries) % BLOCK_COUNT * BLOCK_SIZE;
        const lock = await tryListen(lockPort, LOOPBACK);
        if (lock) {
            lock.unref();
            for (let offset = 1; offset < BLOCK_SIZE; offset++) {
                reserved.push(lockPort + offset);
            }
            return;
        }
    }
    throw new Error(`all ${BLOCK_COUNT} blocks of ports for tests are in use`);
};

/**
 * Finds a TCP port on which nothing listens. It returns no port twice within a process, and none that another test process
 * that runs at the same time gets.
 *
 * @param host - address to listen on
 * @returns the port
 * @throws if no free port was found
 */
export const findFreePort = async (host = LOOPBACK): Promise<number> => {
    for (;;) {
        const port = reserved.pop();
        if (port === undefined) {
            reservation ??= reserveBlock().finally(() => reservation = undefined);
            await reservation;
        }
        else if (await isFree(port, host)) {
            return port;
        }
    }
};

/** Finds a loopback address on which nothing listens. */
export const freeAddress = async (): Promise<Address> =>
    branded<Address>(`127.0.0.1:${await findFreePort()}`);
