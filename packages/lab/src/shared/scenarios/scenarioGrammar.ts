/**
 * Grammar of the scenario language: one step a line, with an optional time in front.
 *
 * @packageDocumentation
 */

import { EmbeddedActionsParser, type IToken } from "chevrotain";
import { At, Duration, NewLine, Quantity, scenarioTokens, Word } from "./scenarioTokens.ts";

/** One line that holds a step. */
export interface ScenarioLine {
    /** Token of the time, if the line has one. */
    readonly time: IToken | undefined;
    /** Words, numbers and times of the step; the first is a word. */
    readonly words: readonly IToken[];
}

/** Parser of scenario files. It recovers at the end of a line, so that one pass reports all findings. */
class ScenarioGrammar extends EmbeddedActionsParser {
    /** Lines of a file. */
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

/** The one instance; reset by each input. */
export const scenarioGrammar = new ScenarioGrammar();
