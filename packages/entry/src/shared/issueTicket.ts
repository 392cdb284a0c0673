/**
 * Issues tickets before the first attempt, so that a caller can safely retry even if it received nothing.
 *
 * @packageDocumentation
 */

import { type BackendServerId, branded, type IncarnationId, type ServiceName } from "@magnolialock/kernel";
import type { AgentPeer } from "./agentPeer.ts";
import type { EntryContext } from "./entryContext.ts";
import { formatTicketChain } from "./ticketChain.ts";

/** Number of agents in a chain; each is tried only after the one before has definitively refused. */
export const TICKET_CHAIN_LENGTH = 2;

/**
 * Mints a chain of tickets.
 *
 * @param context - the entry
 * @param chooseAgent - returns a different agent at each call; undefined when none is left
 * @returns the encoded chain; empty when no agent has a fresh state report
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
            tickets.push(context.tickets.issue(server, branded<IncarnationId>(incarnation)));
        }
    }
    return formatTicketChain(tickets);
};

/**
 * Issues a ticket for a request that the caller has not sent yet.
 *
 * @param context - the entry
 * @param service - service that the request will be sent to
 * @returns the ticket; empty when no backend server of the service can accept the request now
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
