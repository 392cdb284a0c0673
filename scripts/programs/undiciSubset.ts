/**
 * The part of undici that the programs of the platform use, in place of its main module. That one also evaluates
 * fetch, WebSocket, EventSource, caches, cookies, mocks and interceptors, about half of a bundle. A program that
 * imports another name does not build.
 */

import type { Dispatcher as DispatcherType } from "undici";
import requestMethod from "undici/lib/api/api-request.js";
import buildConnector from "undici/lib/core/connect.js";
import { parseURL } from "undici/lib/core/util.js";
import Agent from "undici/lib/dispatcher/agent.js";
import Client from "undici/lib/dispatcher/client.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";

Dispatcher.prototype.request = requestMethod;

/** Options of {@link request}; there is no global dispatcher here. */
type RequestOptions = Omit<DispatcherType.RequestOptions, "origin" | "path" | "method"> & {
    readonly dispatcher: DispatcherType;
    readonly method?: DispatcherType.HttpMethod;
};

/**
 * Sends a request to a URL, as undici's function of the same name.
 *
 * @param url - where to send it
 * @param options - dispatcher and options of the request
 */
const request = (
    url: string | URL,
    { dispatcher, ...options }: RequestOptions,
): Promise<DispatcherType.ResponseData> => {
    const { origin, pathname, search }: URL = parseURL(url);
    return dispatcher.request({
        ...options,
        origin,
        path: pathname + search,
        method: options.method ?? (options.body ? "PUT" : "GET"),
    });
};

export { Agent, buildConnector, Client, request };
