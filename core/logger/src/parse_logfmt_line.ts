import logfmt from 'logfmt';

/** Reads the fields of a line that a logger wrote; foreign text gives odd fields. */
export function parseLogfmtLine(line: string): Record<string, string> {
  const fields: Record<string, string> = {};
  for (const [name, value] of Object.entries(logfmt.parse(line))) {
    fields[name] = String(value);
  }
  return fields;
}
