/**
 * Orders to a simulated engine: load a model, an adapter or a version, or change the engine's role.
 *
 * @packageDocumentation
 */

/** An order with its fencing token. */
export interface EngineOrder {
    /** Fencing token, which increases with each new authority; an engine may refuse an outdated one. */
    readonly fence: number;
    /** Action that the engine is to take. */
    readonly kind: "load-model" | "load-adapter" | "load-version" | "change-role";
    /** Subject of the action, for example the name of a model. */
    readonly subject: string;
}

/** Result of an order: executed, or refused for a fencing token lower than the highest one seen. */
export type OrderOutcome = "done" | "old-fence";

/** Options of {@link EngineOrders}. */
export interface EngineOrdersOptions {
    /** Whether the engine refuses orders with an outdated fencing token. */
    readonly honoursFencing: boolean;
}

/** Executes the orders to one engine; an engine without fencing executes all of them. */
export class EngineOrders {
    /** Executed orders, for the oracle. */
    public readonly executed: EngineOrder[] = [];
    private readonly honoursFencing: boolean;
    private highestFence = 0;

    /** @param options - whether the engine checks fencing tokens */
    public constructor(options: EngineOrdersOptions) {
        this.honoursFencing = options.honoursFencing;
    }

    /**
     * Executes an order, unless its fencing token is outdated and the engine checks it.
     *
     * @param order - the order
     * @returns `done` if it was executed, `old-fence` if it was refused
     */
    public execute(order: EngineOrder): OrderOutcome {
        if (this.honoursFencing && order.fence < this.highestFence) {
            return "old-fence";
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        this.executed.push(order);
        return "done";
    }
}
