/** Load of the local worker of a daemon. */
export interface LocalLoad {
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
}

/** Formats the value of the load header. */
export function formatLoad(load: LocalLoad): string {
  return `${load.running}/${load.queued}/${load.slots}`;
}

const LOAD_PATTERN = /^(\d{1,9})\/(\d{1,9})\/(\d{1,9})$/;

/** Parses the value of the load header; undefined when it is malformed. */
export function parseLoad(text: unknown): LocalLoad | undefined {
  const match = typeof text === 'string' ? LOAD_PATTERN.exec(text) : null;
  if (!match) {
    return undefined;
  }
  return {
    running: Number(match[1]),
    queued: Number(match[2]),
    slots: Number(match[3]),
  };
}
