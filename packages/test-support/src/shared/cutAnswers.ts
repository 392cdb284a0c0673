/**
 * Answers of an HTTP server that breaks off, for the tests of the clients of backend servers.
 *
 * @packageDocumentation
 */

/** How a body is framed. */
export type Framing = "length" | "chunks" | "extended chunks" | "none";

/** An answer that is not complete. */
export interface CutAnswer {
    /** What was cut, for messages. */
    readonly name: string;
    /** Bytes that the server sends before it ends the connection. */
    readonly bytes: string;
}

const BODY = "forty-two is";
const HALF = 4;

const CHUNKED = "transfer-encoding: chunked\r\n";
const EXTENSION = ';part="one"';
const chunkOf = (text: string, extension = ""): string =>
    `${text.length.toString(16)}${extension}\r\n${text}\r\n`;
const chunksOf = (extension: string): string =>
    chunkOf(BODY.slice(0, HALF), extension) + chunkOf(BODY.slice(HALF), extension);

const FRAMINGS: Readonly<Record<Framing, { readonly fields: string; readonly body: string; }>> = {
    length: { fields: `content-length: ${BODY.length}\r\n`, body: BODY },
    chunks: { fields: CHUNKED, body: `${chunksOf("")}0\r\n\r\n` },
    "extended chunks": {
        fields: CHUNKED,
        body: `${chunksOf(EXTENSION)}0${EXTENSION}\r\nx-trailer: 1\r\n\r\n`,
    },
    none: { fields: "", body: "" },
};

/** All framings. */
export const ALL_FRAMINGS = Object.keys(FRAMINGS) as readonly Framing[];

/**
 * Builds a complete answer.
 *
 * @param framing - how the body is framed; without a framing the body is empty
 * @param fields - header lines that come first, each with its line end
 * @returns its bytes
 */
export const wholeAnswer = (framing: Framing, fields: string): string => {
    const { body, fields: framingFields } = FRAMINGS[framing];
    return `HTTP/1.1 200 OK\r\n${fields}${framingFields}x-last: 1\r\n\r\n${body}`;
};

const lastWords = (bytes: string): string => JSON.stringify(bytes.slice(-12));

/**
 * Cuts an answer after each of its bytes; for an answer without a framing, after each byte of its head.
 *
 * @param framing - how the body is framed
 * @param fields - header lines that come first, each with its line end
 * @returns the answers that are cut, none of them complete
 */
export const cutAnswers = (framing: Framing, fields: string): CutAnswer[] => {
    const whole = wholeAnswer(framing, fields);
    return Array.from({ length: whole.length }, (_, length) => whole.slice(0, length))
        .map(bytes => ({ name: `${framing}, cut after ${lastWords(bytes)}`, bytes }));
};

/**
 * Cuts the head of an answer after each byte behind the first header lines, and closes it off with an empty line, as a
 * component between the server and its client may do. The body is missing.
 *
 * @param framing - how the body is framed
 * @param fields - header lines that come first, each with its line end
 * @returns the answers, none of them complete
 */
export const closedOffAnswers = (framing: Framing, fields: string): CutAnswer[] => {
    const whole = wholeAnswer(framing, fields);
    const headEnd = whole.indexOf("\r\n\r\n");
    const start = whole.indexOf(fields) + fields.length - "\r\n".length;
    return Array.from({ length: headEnd - start }, (_, index) => whole.slice(0, start + index))
        .map(head => ({
            name: `${framing}, head closed off after ${lastWords(head)}`,
            bytes: `${head.trimEnd()}\r\n\r\n`,
        }));
};

/** Answers with line ends that are not those of HTTP, and whose body is shorter than its length. */
export const bareLineFeeds = (fields: string): CutAnswer[] => {
    const short = `HTTP/1.1 200 OK\r\n${fields}content-length: ${BODY.length}\r\n\r\n${BODY.slice(0, HALF)}`;
    const unframed = `HTTP/1.1 200 OK\r\n${fields}\r\n`;
    const isLineFeed = (text: string): boolean => text === "\n";
    return [short, unframed].flatMap(text => {
        const lineFeeds = [...text].flatMap((character, index) => isLineFeed(character) ? [index] : []);
        return [
            { name: "line feeds only", bytes: text.replaceAll("\r\n", "\n") },
            ...lineFeeds.map((position, line) => ({
                name: `line ${line} ends with a line feed only`,
                bytes: text.slice(0, position - 1) + text.slice(position),
            })),
        ];
    });
};
