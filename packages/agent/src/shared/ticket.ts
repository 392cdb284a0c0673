/**
 * Tickets bind a request that may not be repeated to one life of one agent.
 *
 * @packageDocumentation
 */

import { type BackendServerId, branded, type IncarnationId } from "@magnolialock/kernel";

/** Contents of a ticket. */
export interface Ticket {
    /** Backend server that may run the request. */
    readonly server: BackendServerId;
    /** Life of the agent that may run it. */
    readonly incarnation: IncarnationId;
    /** Part that makes the ticket unique. */
    readonly nonce: string;
}

const TICKET_PATTERN = /^t1\.([a-z0-9-]+)\.([A-Za-z0-9-]+)\.([A-Za-z0-9-]+)$/;

/**
 * Writes a ticket.
 *
 * @param ticket - its contents
 * @returns its text
 */
export const formatTicket = (ticket: Ticket): string =>
    `t1.${ticket.server}.${ticket.incarnation}.${ticket.nonce}`;

/**
 * Reads a ticket.
 *
 * @param text - its text
 * @returns its contents, or undefined when it is malformed
 */
export const parseTicket = (text: string): Ticket | undefined => {
    const parts = TICKET_PATTERN.exec(text);
    if (!parts) {
        return undefined;
    }
    const [, server = "", incarnation = "", nonce = ""] = parts;
    return {
        server: branded<BackendServerId>(server),
        incarnation: branded<IncarnationId>(incarnation),
        nonce,
    };
};
