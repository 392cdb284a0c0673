/**
 * Command `explain`: the story of one request.
 *
 * @packageDocumentation
 */

import {
    compareTimelineEntries,
    createTcpNetwork,
    ExitCode,
    formatFinding,
    type TimelineEntry,
} from "@magnolialock/kernel";
import { commands } from "../command.ts";
import { addPeerOption, readPeers } from "../peerOptions.ts";
import { explainRequest } from "../timeline/explainRequest.ts";
import { readTimelines } from "../timeline/readTimelines.ts";

/** Explains a request. */
export const explainCommand = commands.register({
    name: "explain",
    usage: "explain <request>",
    description: "Tell in plain sentences what became of a request",
    builder: yargs =>
        addPeerOption(yargs, "control addresses of entries and agents to read")
            .positional("request", {
                type: "string",
                demandOption: true,
                describe: "identifier of the request",
            }),
    run: async args => {
        await using network = createTcpNetwork();
        const request = String(args["request"]);
        const entries: TimelineEntry[] = [];
        const findings = await readTimelines({
            network,
            peers: readPeers(args),
            filter: { request },
            follow: false,
            signal: new AbortController().signal,
            onEntry: entry => void entries.push(entry),
        });
        process.stdout.write(`${explainRequest(request, entries.sort(compareTimelineEntries)).join("\n")}\n`);
        process.stderr.write(findings.map(finding => `${formatFinding(finding)}\n`).join(""));
        return entries.length > 0 && findings.length === 0 ? ExitCode.Success : ExitCode.Failure;
    },
});
