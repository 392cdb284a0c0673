/**
 * Tickets before the first try: a caller that has its ticket can ask again even when no byte of an answer arrived.
 *
 * @packageDocumentation
 */

import { type BackendServerId, branded, type IncarnationId, type ServiceName } from "@magnolialock/kernel";
import type { AgentPeer } from "./agentPeer.ts";
import type { EntryContext } from "./entryContext.ts";
import { formatTicketChain } from "./ticketChain.ts";

/** Agents that a chain names; the next one is tried only after the one before has refused for good. */
export const TICKET_CHAIN_LENGTH = 2;

/**
 * Mints a chain of tickets.
 *
 * @param context - the entry
 * @param chooseAgent - gives a new agent at each call, undefined when none is left
 * @returns the text of the chain; empty when no agent is known to live
 */
export const mintTicketChain = (context: EntryContext, chooseAgent: () => AgentPeer | undefined): string => {
    const tickets: string[] = [];
    while (tickets.length < TICKET_CHAIN_LENGTH) {
        const peer = chooseAgent();
        if (!peer) {
            break;
        }
        const incarnation = peer.state?.incarnation;
        if (incarnation !== undefined) {
            const server: BackendServerId = peer.rule.name;
            tickets.push(context.tickets.mint(server, branded<IncarnationId>(incarnation)));
        }
    }
    return formatTicketChain(tickets);
};

/**
 * Issues a ticket for a request that the caller will send.
 *
 * @param context - the entry
 * @param service - service that the request is for
 * @returns the ticket; empty when no backend server of the service can take it now
 */
export const issueTicket = (context: EntryContext, service: ServiceName): string => {
    const remaining = new Set(context.agents.candidates(service));
    const { random } = context.runtime;
    const chooseAgent = (): AgentPeer | undefined => {
        const candidates = [...remaining];
        if (candidates.length === 0) {
            return undefined;
        }
        const peer = context.policy.choose(candidates, {
            dataCentre: context.dataCentre,
            random,
            prefixKey: "",
            bodyBytes: 0,
        });
        remaining.delete(peer);
        return peer;
    };
    return mintTicketChain(context, chooseAgent);
};
