/**
 * Log events of the direct entry, numbers 8000 to 8999.
 *
 * @packageDocumentation
 */

import { defineEvent } from "@magnolialock/kernel";

/** The process accepts connections. */
export const directStarted = defineEvent({
    number: 8001,
    name: "direct.process.started",
    level: "info",
    summary: "The direct entry listens for callers.",
});

/** A planned stop has begun. */
export const directStopping = defineEvent({
    number: 8002,
    name: "direct.process.stopping",
    level: "info",
    summary: "The direct entry reports not ready and finishes the running requests.",
});

/** The requests of a planned stop have ended. */
export const directStopClosing = defineEvent({
    number: 8009,
    name: "direct.process.closing",
    level: "info",
    summary: "No request runs any more, or the grace period is over; the direct entry closes its ports.",
});

/** The process has ended. */
export const directStopped = defineEvent({
    number: 8003,
    name: "direct.process.stopped",
    level: "info",
    summary: "The direct entry has stopped.",
});

/** The settings file was reloaded. */
export const directReloaded = defineEvent({
    number: 8004,
    name: "direct.process.reloaded",
    level: "info",
    summary: "The settings file was reloaded after a signal.",
});

/** The settings file could not be reloaded. */
export const directReloadFailed = defineEvent({
    number: 8007,
    name: "direct.process.reload-failed",
    level: "error",
    summary: "The settings file could not be reloaded; the previous settings stay in force.",
});

/** The process resumed after a pause. */
export const directPaused = defineEvent({
    number: 8005,
    name: "direct.process.paused",
    level: "warning",
    summary: "The process did not run for a while; it asks the platform again, as its state may be stale.",
});

/** An error escaped every handler. */
export const directUnexpected = defineEvent({
    number: 8006,
    name: "direct.process.unexpected",
    level: "error",
    summary: "An unexpected error occurred; the request or task that raised it was aborted.",
});

/** A configuration took effect. */
export const configurationApplied = defineEvent({
    number: 8010,
    name: "direct.configuration.applied",
    level: "info",
    summary: "A newer version of the operator's configuration took effect at this instance.",
});

/** A published item cannot be decoded. */
export const itemUnreadable = defineEvent({
    number: 8011,
    name: "direct.item.unreadable",
    level: "warning",
    summary:
        "A published item cannot be decoded; it does not count as a backend server and changes nothing else.",
});

/** Calls to the platform fail. */
export const platformLost = defineEvent({
    number: 8012,
    name: "direct.platform.lost",
    level: "warning",
    summary: "The platform's published state cannot be read; the last known state stays in use.",
});

/** Calls to the platform succeed again. */
export const platformFound = defineEvent({
    number: 8013,
    name: "direct.platform.found",
    level: "info",
    summary: "The platform's published state can be read again.",
});

/** An open connection to the platform has gone silent. */
export const platformSilent = defineEvent({
    number: 8038,
    name: "direct.platform.silent",
    level: "warning",
    summary: "An open connection to the platform brought no answer while a new one did; all are opened anew.",
});

/** The platform dropped the change history. */
export const platformReread = defineEvent({
    number: 8014,
    name: "direct.platform.reread",
    level: "info",
    summary: "The platform no longer has the changes since the known revision; the full state is read again.",
});

/** The full published state was read from the platform. */
export const platformRead = defineEvent({
    number: 8015,
    name: "direct.platform.read",
    level: "info",
    summary:
        "The full published state was read from the platform; it is ignored if it is older than the known one.",
});

/** The platform's store has returned from an older copy. */
export const storeRestored = defineEvent({
    number: 8016,
    name: "direct.platform.restored",
    level: "warning",
    summary:
        "The platform's store has returned from an older copy: what was known before stays until it is written again.",
});

/** An item of the copy is not believed. */
export const itemKept = defineEvent({
    number: 8017,
    name: "direct.item.kept",
    level: "info",
    summary:
        "The store's older copy has an earlier content of an item; the newer one, or its removal, stays in force.",
});

/** Servers that the copy lacks have not come back. */
export const missingDropped = defineEvent({
    number: 8018,
    name: "direct.servers.missing",
    level: "info",
    summary:
        "Backend servers that the store's older copy lacks have not published themselves again; they count as gone.",
});

/** The state that another instance knows was fetched. */
export const stateFetched = defineEvent({
    number: 8019,
    name: "direct.state.fetched",
    level: "info",
    summary: "The published state was fetched from another instance, which knew more.",
});

/** A backend server was added. */
export const serverAdded = defineEvent({
    number: 8020,
    name: "direct.server.added",
    level: "info",
    summary: "A backend server was added and may get requests.",
});

/** A backend server gets no new requests any more. */
export const serverLeaving = defineEvent({
    number: 8021,
    name: "direct.server.leaving",
    level: "info",
    summary: "A backend server is draining or was removed and gets no new requests.",
});

/** A backend server stays in use although its entry was removed. */
export const serverKept = defineEvent({
    number: 8022,
    name: "direct.server.kept",
    level: "info",
    summary:
        "A backend server whose entry was removed around a platform outage stays in use for a short time.",
});

/** A backend server was ejected after failures. */
export const serverEjected = defineEvent({
    number: 8023,
    name: "direct.server.ejected",
    level: "warning",
    summary:
        "A backend server failed several times in a row and gets no requests while others are available.",
});

/** A service's group is down. */
export const groupDown = defineEvent({
    number: 8024,
    name: "direct.group.down",
    level: "warning",
    summary: "A group of model servers lacks a rank; it gets no requests until it serves again.",
});

/** The group of a server cannot be read. */
export const groupUnreadable = defineEvent({
    number: 8026,
    name: "direct.group.unreadable",
    level: "debug",
    summary: "The rank agent beside a model server did not tell the server's group.",
});

/** A service's group is up. */
export const groupUp = defineEvent({
    number: 8025,
    name: "direct.group.up",
    level: "info",
    summary: "The group of model servers of a service serves requests again.",
});

/** A request was served. */
export const callAnswered = defineEvent({
    number: 8030,
    name: "direct.call.answered",
    level: "debug",
    summary: "A caller got the complete response of a backend server.",
});

/** A request was refused. */
export const callRefused = defineEvent({
    number: 8031,
    name: "direct.call.refused",
    level: "info",
    summary: "A request was refused without having been run.",
});

/** A request failed. */
export const callFailed = defineEvent({
    number: 8032,
    name: "direct.call.failed",
    level: "info",
    summary: "A request that may have run got no complete response.",
});

/** A caller disconnected. */
export const callLeft = defineEvent({
    number: 8033,
    name: "direct.call.left",
    level: "debug",
    summary: "A caller disconnected before its response was complete; the running attempt was aborted.",
});

/** The last bytes of an answer did not leave. */
export const answerUnsent = defineEvent({
    number: 8035,
    name: "direct.answer.unsent",
    level: "info",
    summary: "The connection of a caller ended before all bytes of an answer that counts as given had left.",
});

/** A caller's connection ended during the stop of this instance. */
export const callLeftAtStop = defineEvent({
    number: 8036,
    name: "direct.call.left-at-stop",
    level: "info",
    summary: "The connection of a caller ended without a complete response while this instance stops.",
});

/** An attempt ended without a complete response. */
export const attemptFailed = defineEvent({
    number: 8034,
    name: "direct.attempt.failed",
    level: "info",
    summary: "An attempt at a backend server ended without a complete response.",
});

/** A server ended before an answer was under way. */
export const crashReported = defineEvent({
    number: 8050,
    name: "direct.crash.reported",
    level: "warning",
    summary:
        "A backend server no longer accepts connections after an attempt there broke off before its answer was under way; the request and its prompt's parts count as evidence.",
});

/** A part of prompts or a request was put into quarantine. */
export const suspectQuarantined = defineEvent({
    number: 8051,
    name: "direct.prompt-part.quarantined",
    level: "warning",
    summary:
        "Servers ended as they began answers on a part of prompts, or on one request that came again; it is refused.",
});

/** A part of prompts or a request is sound again. */
export const suspectCleared = defineEvent({
    number: 8052,
    name: "direct.prompt-part.cleared",
    level: "info",
    summary:
        "A part of prompts or a request is no longer in quarantine: an answer on it is under way, or the evidence is old.",
});

/** A request in quarantine, or with a part in it, was sent. */
export const suspectTried = defineEvent({
    number: 8053,
    name: "direct.prompt-part.tried",
    level: "info",
    summary: "A request was sent to find out whether it, or a part of its prompt, is sound again.",
});

/** A server names a limit. */
export const serverLimitNamed = defineEvent({
    number: 8060,
    name: "direct.server.limit-named",
    level: "info",
    summary: "A backend server names a limit on the requests of all instances, or has changed it.",
});

/** A server names no limit any more. */
export const serverLimitEnded = defineEvent({
    number: 8061,
    name: "direct.server.limit-ended",
    level: "info",
    summary: "A backend server no longer names a limit on the requests of all instances.",
});

/** The limit of a server cannot be read. */
export const serverLimitUnreadable = defineEvent({
    number: 8062,
    name: "direct.server.limit-unreadable",
    level: "warning",
    summary:
        "The limit that a backend server names is no decimal number; what was known before stays in force.",
});

/** A server wants no requests for a while. */
export const serverRests = defineEvent({
    number: 8064,
    name: "direct.server.rests",
    level: "info",
    summary:
        "A backend server has turned a request away and wants no further ones of this instance for a while.",
});

/** What a server says about itself cannot be read. */
export const noticeUnreadable = defineEvent({
    number: 8063,
    name: "direct.server.notice-unreadable",
    level: "warning",
    summary:
        "A header in which a backend server says that it leaves, or wants no requests, cannot be read; it counts for nothing.",
});

/** Another instance was found. */
export const peerFound = defineEvent({
    number: 8040,
    name: "direct.peer.found",
    level: "info",
    summary: "Another instance has started to send reports.",
});

/** Reports of another instance stopped. */
export const peerLost = defineEvent({
    number: 8041,
    name: "direct.peer.lost",
    level: "info",
    summary: "Another instance has not sent a report for a while.",
});

/** The published state could not be fetched from another instance. */
export const peerFetchFailed = defineEvent({
    number: 8042,
    name: "direct.peer.fetch-failed",
    level: "info",
    summary: "Another instance knows a newer published state, but fetching it failed.",
});

/** A datagram is not a valid report. */
export const peerUnreadable = defineEvent({
    number: 8043,
    name: "direct.peer.unreadable",
    level: "warning",
    summary: "A datagram on the port for peer reports could not be decoded.",
});
