/**
 * Index of the client accounts by the hash of their API key.
 *
 * @packageDocumentation
 */

import type { AcceptedConfiguration, ConfigurationStore } from "@magnolialock/control";
import type { ClientAccountId } from "@magnolialock/kernel";
import { createHash } from "node:crypto";

const BEARER_PATTERN = /^Bearer (\S{1,512})$/i;

/** Looks up client accounts by API key; the index is rebuilt when the configuration changes. */
export class AccountIndex implements Disposable {
    private accounts: ReadonlyMap<string, ClientAccountId> = new Map();
    private readonly subscription: Disposable;

    /** @param configuration - configuration in force */
    public constructor(configuration: ConfigurationStore) {
        this.subscription = configuration.onChange(accepted => this.update(accepted));
    }

    /**
     * Looks up the account of a request.
     *
     * @param authorization - value of the `Authorization` header
     * @returns the account; undefined when the key is missing or unknown
     */
    public find(authorization: string | undefined): ClientAccountId | undefined {
        const key = BEARER_PATTERN.exec(authorization ?? "")?.[1];
        return key === undefined
            ? undefined
            : this.accounts.get(createHash("sha256").update(key).digest("hex"));
    }

    /** Unsubscribes from the configuration. */
    public [Symbol.dispose](): void {
        this.subscription[Symbol.dispose]();
    }

    private update({ rules }: AcceptedConfiguration): void {
        this.accounts = new Map([...rules.accounts.values()].map(({ keyHash, name }) => [keyHash, name]));
    }
}
