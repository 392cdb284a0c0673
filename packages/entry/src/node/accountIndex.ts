/**
 * Client accounts by the hash of their API key.
 *
 * @packageDocumentation
 */

import type { AcceptedConfiguration, ConfigurationStore } from "@magnolialock/control";
import type { ClientAccountId } from "@magnolialock/kernel";
import { createHash } from "node:crypto";

const BEARER_PATTERN = /^Bearer (\S{1,512})$/i;

/** Finds the client account of an API key; the index follows the configuration. */
export class AccountIndex implements Disposable {
    private accounts: ReadonlyMap<string, ClientAccountId> = new Map();
    private readonly subscription: Disposable;

    /** @param configuration - configuration in force */
    public constructor(configuration: ConfigurationStore) {
        this.subscription = configuration.onChange(accepted => this.update(accepted));
    }

    /**
     * Finds an account.
     *
     * @param authorization - value of the header `Authorization`
     * @returns the account, or undefined
     */
    public find(authorization: string | undefined): ClientAccountId | undefined {
        const key = BEARER_PATTERN.exec(authorization ?? "")?.[1];
        return key === undefined
            ? undefined
            : this.accounts.get(createHash("sha256").update(key).digest("hex"));
    }

    /** Stops following the configuration. */
    public [Symbol.dispose](): void {
        this.subscription[Symbol.dispose]();
    }

    private update({ rules }: AcceptedConfiguration): void {
        this.accounts = new Map([...rules.accounts.values()].map(({ keyHash, name }) => [keyHash, name]));
    }
}
