/**
 * Ticket chains: the agents that may run a non-repeatable request, in the order in which they are tried.
 *
 * The second agent may run the request only after the first one has definitively refused it. Every entry
 * that receives the chain tries its agents in the same order, so that at most one agent ever starts it.
 *
 * @packageDocumentation
 */

import { parseTicket, type Ticket } from "@magnolialock/agent";

const SEPARATOR = "+";

/** One agent in a ticket chain. */
export interface TicketLink {
    /** Encoded ticket of the agent. */
    readonly text: string;
    /** Decoded ticket of the agent. */
    readonly ticket: Ticket;
}

/**
 * Encodes a ticket chain.
 *
 * @param tickets - encoded tickets, in the order of the chain
 * @returns the encoded chain
 */
export const formatTicketChain = (tickets: readonly string[]): string => tickets.join(SEPARATOR);

/**
 * Decodes a ticket chain.
 *
 * @param text - encoded chain
 * @returns the links; undefined when a ticket is malformed
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
