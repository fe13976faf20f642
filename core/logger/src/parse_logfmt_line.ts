import logfmt from 'logfmt';

/** Parses the fields of a log line; other text results in meaningless fields. */
export function parseLogfmtLine(line: string): Record<string, string> {
  const fields: Record<string, string> = {};
  for (const [name, value] of Object.entries(logfmt.parse(line))) {
    fields[name] = String(value);
  }
  return fields;
}
