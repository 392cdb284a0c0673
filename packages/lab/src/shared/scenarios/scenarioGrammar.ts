/**
 * Grammar of the scenario language: one step per line, with an optional time before it.
 *
 * @packageDocumentation
 */

import { EmbeddedActionsParser, type IToken } from "chevrotain";
import { At, Duration, NewLine, Quantity, scenarioTokens, Word } from "./scenarioTokens.ts";

/** A line with a step. */
export interface ScenarioLine {
    /** Token of the time; undefined if the line has none. */
    readonly time: IToken | undefined;
    /** Words, numbers and times of the step; the first token is a word. */
    readonly words: readonly IToken[];
}

/** Parser of scenario files. It resumes after a faulty line, so that one pass reports all findings. */
class ScenarioGrammar extends EmbeddedActionsParser {
    /** Parses a file into its lines. */
    public readonly file = this.RULE("file", (): ScenarioLine[] => {
        const lines: ScenarioLine[] = [];
        this.MANY(() => {
            this.OR([
                { ALT: () => this.CONSUME(NewLine) },
                { ALT: () => lines.push(this.SUBRULE(this.line)) },
            ]);
        });
        return lines;
    });

    private readonly line = this.RULE("line", (): ScenarioLine => {
        let time: IToken | undefined;
        this.OPTION(() => {
            this.CONSUME(At);
            time = this.CONSUME(Duration);
        });
        const words = [this.CONSUME(Word)];
        this.MANY(() => words.push(this.SUBRULE(this.part)));
        return { time, words };
    });

    private readonly part = this.RULE("part", (): IToken =>
        this.OR([
            { ALT: () => this.CONSUME(Word) },
            { ALT: () => this.CONSUME(Duration) },
            { ALT: () => this.CONSUME(Quantity) },
            { ALT: () => this.CONSUME(At) },
        ]));

    public constructor() {
        super(scenarioTokens, { recoveryEnabled: true });
        this.performSelfAnalysis();
    }
}

/** The only parser instance; a new input resets it. */
export const scenarioGrammar = new ScenarioGrammar();
