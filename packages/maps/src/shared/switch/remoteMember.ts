/**
 * Client of a member of the group on another instance.
 *
 * @packageDocumentation
 */

import { type CallOptions, createClient } from "@connectrpc/connect";
import { type Address, type Runtime, timeoutSignal } from "@magnolialock/kernel";
import { type MapMemberReply, MapService } from "@magnolialock/protocol";
import { decodeReply, encodeActivation, type MapLibrary } from "./memberCodec.ts";
import type { MemberCalls, MemberReply } from "./memberReply.ts";

/** Options of {@link createRemoteMember}. */
export interface RemoteMemberOptions {
    /** Clock and network of the process. */
    readonly runtime: Runtime;
    /** Rank of the member. */
    readonly rank: number;
    /** Address of its agent. */
    readonly address: Address;
    /** Hash of the members' addresses, with which members detect peers of another configuration. */
    readonly roster: string;
    /** Cache of maps of the process. */
    readonly library: MapLibrary;
    /** Timeout of one call, in milliseconds. */
    readonly callTimeoutMs: number;
}

/**
 * Creates a client of a member.
 *
 * @param options - rank, address, roster and timeout
 * @returns the client
 */
export const createRemoteMember = (options: RemoteMemberOptions): MemberCalls => {
    const { runtime, roster, library } = options;
    const client = createClient(MapService, runtime.network.transportTo(options.address));
    let mapIdsAtMember: readonly string[] = [];
    const call = async (run: (options: CallOptions) => Promise<MapMemberReply>): Promise<MemberReply> => {
        using timeout = timeoutSignal(runtime.clock, options.callTimeoutMs);
        return decodeReply(await run({ signal: timeout.signal }), library);
    };
    return {
        rank: options.rank,
        prepare: async epoch => {
            const request = { roster, epoch: BigInt(epoch), knownMapIds: library.ids() };
            const reply = await call(callOptions => client.prepare(request, callOptions));
            mapIdsAtMember = reply.decided.map(({ map }) => map.id);
            return reply;
        },
        settle: settlement => {
            const request = {
                roster,
                epoch: BigInt(settlement.epoch),
                decided: settlement.decided.map(activation => encodeActivation(activation, mapIdsAtMember)),
                step: BigInt(settlement.step),
                incarnation: settlement.incarnation,
                engineIncarnation: settlement.engineIncarnation,
            };
            return call(callOptions => client.settle(request, callOptions));
        },
        arm: activation => {
            const request = {
                roster,
                epoch: BigInt(activation.epoch),
                activation: encodeActivation(activation),
            };
            return call(callOptions => client.arm(request, callOptions));
        },
        commit: epoch => call(callOptions => client.commit({ roster, epoch: BigInt(epoch) }, callOptions)),
        abort: epoch => call(callOptions => client.abort({ roster, epoch: BigInt(epoch) }, callOptions)),
        report: () => {
            const request = { roster, knownMapIds: library.ids() };
            return call(callOptions => client.getStatus(request, callOptions));
        },
    };
};
