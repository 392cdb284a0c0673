/**
 * Log events of answers that end with their connection, numbers 8080 to 8082.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The server still accepts connections after the end of an answer. */
export const answerEndConfirmed = defineEvent({
    number: 8080,
    name: "direct.answer.end-confirmed",
    level: "debug",
    summary:
        "An answer ended with its connection, and its server accepts connections: the answer is complete.",
});

/** The end of an answer was judged by the connections to its server, or by what answers at its address. */
export const answerEndJudged = defineEvent({
    number: 8081,
    name: "direct.answer.end-judged",
    level: "info",
    summary:
        "An answer ended with its connection, and its server does not accept connections or may have been replaced; `evidence` decided whether the answer is complete.",
});

/** A server that leaves has stopped listening while its answers go on. */
export const serverStoppedListening = defineEvent({
    number: 8082,
    name: "direct.server.stopped-listening",
    level: "info",
    summary:
        "A backend server that leaves does not accept connections any more while it goes on with its answers.",
});
