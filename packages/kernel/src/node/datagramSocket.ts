/**
 * UDP sockets for datagrams.
 *
 * @packageDocumentation
 */

import { createSocket } from "node:dgram";
import { isIPv6 } from "node:net";
import { type Address, branded } from "../shared/brand.ts";
import type { DatagramSocket } from "../shared/network.ts";
import { splitAddress } from "./address.ts";

/**
 * Opens a UDP socket.
 *
 * @param address - address to bind
 * @param onDatagram - called for each datagram
 * @returns the socket
 */
export const openDatagramSocket = (
    address: Address,
    onDatagram: (from: Address, bytes: Uint8Array) => void,
): Promise<DatagramSocket> =>
    new Promise((resolve, reject) => {
        const { host, port } = splitAddress(address);
        const socket = createSocket(isIPv6(host) ? "udp6" : "udp4");
        socket.on("message", (bytes, from) =>
            onDatagram(branded<Address>(`${from.address}:${from.port}`), bytes));
        socket.once("error", reject);
        socket.bind(port, host, () => {
            socket.off("error", reject);
            socket.on("error", () => {});
            resolve({
                send: (to, bytes) => {
                    const target = splitAddress(to);
                    socket.send(bytes, target.port, target.host, () => {});
                },
                [Symbol.asyncDispose]: () =>
                    new Promise(closed => socket.close(() => closed())),
            });
        });
    });
