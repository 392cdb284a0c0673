/**
 * Views on the decoded content of published items.
 *
 * @packageDocumentation
 */

import type { BackendServerId, DataCentreId } from "@magnolialock/kernel";
import type { ItemContent, PublishedServer } from "../types/publishedState.ts";

/**
 * Collects the backend servers.
 *
 * @param contents - content of all items
 * @returns the servers by identifier
 */
export const serversAmong = (contents: Iterable<ItemContent>): Map<BackendServerId, PublishedServer> => {
    const servers = new Map<BackendServerId, PublishedServer>();
    for (const content of contents) {
        if (content.kind === "server") {
            servers.set(content.server.id, content.server);
        }
    }
    return servers;
};

/**
 * Collects the data centres that operators have taken out of service.
 *
 * @param contents - content of all items
 */
export const outDataCentresAmong = (contents: Iterable<ItemContent>): Set<DataCentreId> => {
    const dataCentres = new Set<DataCentreId>();
    for (const content of contents) {
        if (content.kind === "outDataCentre") {
            dataCentres.add(content.dataCentre);
        }
    }
    return dataCentres;
};
