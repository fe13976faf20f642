import {parseLogfmtLine} from '@carobseam/core.logger';

const BELIEF_WINDOW_MS = 5000; // longer than any request waits
const DROPPED_WINDOW_MS = 1500; // dropped lines are counted once a second

/** One line of a relay's log. */
export interface LogLine {
  atMs: number;
  vm: string;
  event: string;
  fields: Readonly<Record<string, string>>;
  text: string;
}

/** What the collected logs say of one request. */
export interface RequestExplanation {
  /** Lines of the request and of the calls that its worker made, by time. */
  lines: LogLine[];
  /**
   * What the relays involved came to believe shortly before its end, and delays
   * of their event loops that began by then.
   */
  beliefs: LogLine[];
  /** How the request ended, in one sentence. */
  cause: string;
  /** Whether lines may be missing, because relays left some out. */
  mayLackLines: boolean;
}

type Fields = LogLine['fields'];

const BELIEF_EVENTS = new Set([
  'config_in_force',
  'event_loop_delayed',
  'reader_lost',
  'readers_silent',
  'removal_held',
  'settings_reloaded',
  'source_history_lost',
  'source_lost',
  'source_regained',
  'started',
  'state_from_peer',
  'stopped',
  'stopping',
  'vm_left',
  'vm_lost',
  'vm_regained',
  'worker_crashed',
  'worker_removed',
]);

const REFUSALS: Record<string, string> = {
  allFull:
    'every worker of the service was full or had just refused a request of this rank',
  leaving: 'the worker was leaving and no other had room',
  noWorker: 'no usable worker of the service was known',
  relayLeaves: 'the relay of the worker was about to stop',
  workerDown: 'the workers that were tried refused connections',
  workerGone: 'the worker had left its address',
  wouldBeLate: 'the queue was too long for a response in time',
  wouldExpire: 'the queue was longer than the caller would wait',
};

const UNKNOWNS: Record<string, string> = {
  connection_lost: 'the worker or its relay ended the connection',
  head_too_large: 'the status line and headers of the response had no end',
  quarantined: 'it had been sent before it was known that it crashes workers',
  malformed_response: 'the bytes of the worker were no response',
  no_response_head:
    'interim responses or extra responses to other requests had no end',
  noVerdict: 'the relay of the worker did not say what became of it',
  silent:
    'the VM of the worker sent nothing, and no response could come any more',
  unattributed_response:
    'the response bore no id or several and may belong to another request',
  unprovenRefusal: 'the worker refused without stating that it ran nothing',
  unsealed: 'the response was not signed by the worker',
};

const BREAK_OFFS: Record<string, string> = {
  relayEnds: 'the relay stopped',
  timeout: 'the limit of the route or the caller was reached',
};

const OUTCOMES: Record<string, (fields: Fields) => string> = {
  answered: ({status, attempts}) =>
    `Answered with the worker's status ${status} after ${attempts} sends.`,
  bodyFailed: ({cause}) => `The body could not be read: ${cause}.`,
  brokenOff: ({reason, durationMs}) =>
    `The response was broken off after ${durationMs} ms, in the middle of its body: ${BREAK_OFFS[reason!] ?? reason}.`,
  callerLeft: () => 'The caller left before there was a response.',
  noConfig: () => 'Refused: the relay had not read a configuration yet.',
  staleConfig: () =>
    'Refused: no known route matches, and the relay could not tell whether its configuration was the newest.',
  noRoute: ({host, version}) =>
    `No route of version ${version} fits host ${host} and the path.`,
  refused: ({reason, retryAfterMs}) =>
    `Refused, nothing ran: ${REFUSALS[reason!] ?? reason}; told to return after ${retryAfterMs} ms.`,
  quarantined: () =>
    'Refused for good: it was in flight at several crashes of workers in a row, see the lines worker_crashed.',
  relayEnds: () => 'The relay stopped before there was a response.',
  relayLeaves: () => 'Refused: the relay was about to stop.',
  timeout: ({durationMs}) =>
    `No response within ${durationMs} ms, the limit of the route or the caller.`,
  unknown: ({reason}) =>
    `Outcome unknown, it may have run: ${UNKNOWNS[reason!] ?? reason}.`,
};

/** Reads one key=value line; undefined for lines of another kind. */
export function parseLogLine(text: string): LogLine | undefined {
  const fields = parseLogfmtLine(text);
  const atMs = Date.parse(fields['time'] ?? '');
  if (Number.isNaN(atMs) || !fields['event']) {
    return undefined;
  }
  const {vm = 'unknown', event} = fields;
  return {atMs, vm, event, fields, text};
}

/**
 * Finds what became of a request in the lines of all relays.
 *
 * @return undefined when no line names the request.
 */
export function explainRequest(
  id: string,
  all: Iterable<LogLine>,
): RequestExplanation | undefined {
  const sorted = [...all].sort((a, b) => a.atMs - b.atMs);
  const lines = sorted.filter(
    ({fields}) => fields['id'] === id || fields['id']?.startsWith(`${id}.`),
  );
  const own = lines.filter(({fields}) => fields['id'] === id);
  if (own.length === 0) {
    return undefined;
  }
  const end = own.findLast(({event}) => event === 'request_ended');
  const lastMs = (end ?? own.at(-1)!).atMs;
  const vms = new Set(lines.map(({vm}) => vm));
  const near = (line: LogLine, windowMs: number) =>
    vms.has(line.vm) && Math.abs(line.atMs - lastMs) <= windowMs;
  return {
    lines,
    beliefs: sorted.filter(
      line =>
        BELIEF_EVENTS.has(line.event) &&
        startMsOf(line) <= lastMs &&
        near(line, BELIEF_WINDOW_MS),
    ),
    cause: causeOf(end),
    mayLackLines: sorted.some(
      line =>
        line.event === 'log_lines_dropped' && near(line, DROPPED_WINDOW_MS),
    ),
  };
}

/** When the state that a line reports began; a delay is reported at its end. */
function startMsOf({atMs, fields}: LogLine): number {
  return atMs - Number(fields['delayMs'] ?? 0);
}

function causeOf(end: LogLine | undefined): string {
  if (!end) {
    return 'No line says how it ended: the relay was killed, or left the line out.';
  }
  const {outcome = 'missing'} = end.fields;
  return OUTCOMES[outcome]?.(end.fields) ?? `Ended as ${outcome}.`;
}
