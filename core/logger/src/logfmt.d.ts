declare module 'logfmt' {
  const logfmt: {
    stringify(fields: Record<string, unknown>): string;
    parse(line: string): Record<string, unknown>;
  };
  export default logfmt;
}
