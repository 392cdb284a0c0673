/**
 * Decoding of a text file line by line, with the column of bytes that are not allowed.
 *
 * @packageDocumentation
 */

/** One decoded line, or the problem that makes it unreadable. */
export type DecodedLine =
    | { readonly kind: "text"; readonly text: string; }
    | { readonly kind: "problem"; readonly column: number; readonly message: string; };

const LINE_FEED = 0x0a;
const CONTROL_CHARACTER = /[\u0000-\u0008\u000b-\u001f\u007f-\u009f]/;
const strictDecoder = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });
const lenientDecoder = new TextDecoder("utf-8", { ignoreBOM: true });

const splitLines = (bytes: Uint8Array): Uint8Array[] => {
    const lines: Uint8Array[] = [];
    let start = 0;
    for (let end = bytes.indexOf(LINE_FEED); end >= 0; end = bytes.indexOf(LINE_FEED, start)) {
        lines.push(bytes.subarray(start, end));
        start = end + 1;
    }
    lines.push(bytes.subarray(start));
    return lines;
};

const decodeLine = (bytes: Uint8Array): DecodedLine => {
    let text: string;
    try {
        text = strictDecoder.decode(bytes);
    }
    catch {
        const column = [...lenientDecoder.decode(bytes)].indexOf("\ufffd") + 1;
        return { kind: "problem", column, message: "these bytes are not UTF-8: save the file as UTF-8" };
    }
    const line = text.endsWith("\r") ? text.slice(0, -1) : text;
    const controlCharacter = CONTROL_CHARACTER.exec(line);
    if (controlCharacter) {
        const code = controlCharacter[0].charCodeAt(0).toString(16).padStart(4, "0").toUpperCase();
        const column = [...line.slice(0, controlCharacter.index)].length + 1;
        return { kind: "problem", column, message: `control character U+${code}: remove it` };
    }
    return { kind: "text", text: line };
};

/**
 * Decodes a file into lines.
 *
 * @param bytes - content of the file; lines end with LF or CR LF
 * @returns the lines in order; a byte order mark at the start is removed
 */
export const decodeLines = (bytes: Uint8Array): DecodedLine[] => {
    const lines = splitLines(bytes).map(decodeLine);
    const [first] = lines;
    if (first?.kind === "text" && first.text.startsWith("\ufeff")) {
        lines[0] = { kind: "text", text: first.text.slice(1) };
    }
    return lines;
};
