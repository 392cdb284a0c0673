/**
 * Ticket chains: the agents that may run a request that may not be repeated, in their order.
 *
 * The second agent may run it only after the first one has refused it for good. Every entry that gets the chain goes
 * through it in the same order, so that at most one agent ever starts the request.
 *
 * @packageDocumentation
 */

import { parseTicket, type Ticket } from "@magnolialock/agent";

const SEPARATOR = "+";

/** One agent of a chain. */
export interface TicketLink {
    /** Text of its ticket. */
    readonly text: string;
    /** Contents of its ticket. */
    readonly ticket: Ticket;
}

/**
 * Writes a chain.
 *
 * @param tickets - texts of the tickets, in their order
 * @returns its text
 */
export const formatTicketChain = (tickets: readonly string[]): string => tickets.join(SEPARATOR);

/**
 * Reads a chain.
 *
 * @param text - its text
 * @returns its links, or undefined when one is malformed
 */
export const parseTicketChain = (text: string): TicketLink[] | undefined => {
    const links: TicketLink[] = [];
    for (const part of text.split(SEPARATOR)) {
        const ticket = parseTicket(part);
        if (!ticket) {
            return undefined;
        }
        links.push({ text: part, ticket });
    }
    return links;
};
