const NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:/;
const CONTROL_PATTERN = /[^\t\x20-\x7e\x80-\xff]/; // the characters that Node.js does not send in a header
const BLANKS = ' \t';

/**
 * Parses one header line, or a further line of the last header, and appends its
 * name and value to `headers`.
 *
 * @throws Error when the line is not a header, for example because it was cut.
 */
export function parseHeaderLine(line: string, headers: string[]): void {
  if (hasControlCharacter(line)) {
    throw new Error('header contains a control character');
  }
  if (BLANKS.includes(line.charAt(0))) {
    if (headers.length === 0) {
      throw new Error('first header line begins with a blank');
    }
    const value = headers.pop()!;
    headers.push(trimBlanks(`${value} ${trimBlanks(line)}`));
    return;
  }
  const name = NAME_PATTERN.exec(line)?.[0];
  if (!name) {
    throw new Error('header line has no valid name');
  }
  headers.push(name.slice(0, -1), trimBlanks(line.slice(name.length)));
}

/** Whether a part of a head contains a control character. */
export function hasControlCharacter(text: string): boolean {
  return CONTROL_PATTERN.test(text);
}

function trimBlanks(text: string): string {
  let start = 0;
  let end = text.length;
  while (start < end && BLANKS.includes(text.charAt(start))) {
    start++;
  }
  while (end > start && BLANKS.includes(text.charAt(end - 1))) {
    end--;
  }
  return text.slice(start, end);
}
