/**
 * Parsing of the network addresses in settings and rules.
 *
 * @packageDocumentation
 */

import ipaddr from "ipaddr.js";
import type { Address } from "../shared/brand.ts";
import { branded } from "../shared/brand.ts";
import { SettingsError } from "../shared/errors.ts";

const MAX_PORT = 65_535;

/**
 * Splits an address into host and port.
 *
 * @param address - `ip:port` or `[ip]:port`
 * @returns IP address without brackets, and port
 */
export const splitAddress = (address: Address): { readonly host: string; readonly port: number; } => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
};

/**
 * Tells whether a text is an IP address with a port; host names are not accepted.
 *
 * @param text - the text
 * @returns true for `10.0.0.1:80` and `[::1]:80`
 */
export const isAddress = (text: string): boolean => {
    const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
    if (!match) {
        return false;
    }
    const [, v6, v4, port] = match;
    const isHost = v6 === undefined ? ipaddr.IPv4.isValidFourPartDecimal(v4 ?? "") : ipaddr.IPv6.isValid(v6);
    return isHost && Number(port) <= MAX_PORT;
};

/** Ranges of addresses that name no single host. */
const NO_HOST_RANGES: ReadonlySet<string> = new Set(["unspecified", "multicast", "broadcast"]);

/**
 * Tells whether a text is an address that a connection can be opened to.
 *
 * @param text - the text
 * @returns true for what {@link isAddress} accepts, but for port 0 and addresses that name no single host
 */
export const isReachableAddress = (text: string): boolean => {
    if (!isAddress(text)) {
        return false;
    }
    const { host, port } = splitAddress(branded<Address>(text));
    return port > 0 && !NO_HOST_RANGES.has(ipaddr.parse(host).range());
};

/**
 * Parses an address.
 *
 * @param text - the text
 * @returns the address
 * @throws SettingsError that shows the expected form
 */
export const parseAddress = (text: string): Address => {
    if (!isAddress(text)) {
        throw new SettingsError(
            `"${text}" is not an address: write an IP address and a port, like 127.0.0.1:8080`,
        );
    }
    return branded<Address>(text);
};
