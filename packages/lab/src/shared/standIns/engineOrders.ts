/**
 * Orders to an engine stand-in: load a model, an adapter or a version, or change its role.
 *
 * @packageDocumentation
 */

/** One order with its fencing number. */
export interface EngineOrder {
    /** Number that grows with each new authority; an engine may refuse an old one. */
    readonly fence: number;
    /** What to do. */
    readonly kind: "load-model" | "load-adapter" | "load-version" | "change-role";
    /** What the order is about, for example the name of the model. */
    readonly subject: string;
}

/** What an engine did with an order. */
export type OrderOutcome = "done" | "old-fence";

/** Options of {@link EngineOrders}. */
export interface EngineOrdersOptions {
    /** Whether the engine refuses orders with an old fencing number. */
    readonly honoursFencing: boolean;
}

/** Takes orders; engines that do not honour fencing follow every one. */
export class EngineOrders {
    /** Orders that were followed, for oracles. */
    public readonly followed: EngineOrder[] = [];
    private readonly honoursFencing: boolean;
    private highestFence = 0;

    /** @param options - whether fencing is honoured */
    public constructor(options: EngineOrdersOptions) {
        this.honoursFencing = options.honoursFencing;
    }

    /**
     * Gives an order.
     *
     * @param order - the order
     * @returns whether it was followed
     */
    public give(order: EngineOrder): OrderOutcome {
        if (this.honoursFencing && order.fence < this.highestFence) {
            return "old-fence";
        }
        this.highestFence = Math.max(this.highestFence, order.fence);
        this.followed.push(order);
        return "done";
    }
}
