import type {DaemonBlackboard, MemberView} from '@carobseam/core.blackboard';
import type {Clock, ServiceName, VmId} from '@carobseam/core.types';
import {
  PROVEN_EXIT_MARGIN_MS,
  KEY_VALIDITY_MS,
  SETTLING_PERIOD_MS,
  TAKEOVER_DELAY_MS,
} from './limits.js';

/** Issue times of the keys that one process of a VM may have run. */
interface ServingSpan {
  readonly service: ServiceName;
  readonly servingSinceWallMs: number;
  /** First issue time that the process cannot have run any more. */
  untilWallMs: number;
  /** Local wall time at which the process was seen to be gone. */
  goneSeenWallMs?: number;
  /** Local monotonic time at which the span ended. */
  endedMonotonicMs?: number;
}

interface VmHistory {
  /** Absent while the VM is not among the members. */
  current?: ServingSpan;
  ended: ServingSpan[];
}

/** Ended spans of one VM; older ones are merged, which widens them. */
const MAX_ENDED_SPANS = 16;

/**
 * Keys of an ended span were issued at most the takeover time after its end
 * and are refused for their age after the validity; the rest is a margin.
 */
const RETENTION_MS = KEY_VALIDITY_MS + 2 * TAKEOVER_DELAY_MS;

/**
 * Remembers which processes of the data centre may have run a key of a given
 * issue time, also after their VM restarted or left the list of members.
 */
export class MemberHistory {
  readonly #clock: Clock;
  readonly #histories = new Map<VmId, VmHistory>();
  readonly #stopObserving: () => void;

  constructor(options: {blackboard: DaemonBlackboard; clock: Clock}) {
    this.#clock = options.clock;
    this.#update(options.blackboard.read('members'));
    this.#stopObserving = options.blackboard.observe('members', members =>
      this.#update(members),
    );
  }

  /** Ends the observation of the members. */
  close(): void {
    this.#stopObserving();
  }

  /** VMs whose processes may have run a key of the service. */
  possibleExecutors(service: ServiceName, issuedWallMs: number): VmId[] {
    const runners: VmId[] = [];
    for (const [vmId, {current, ended}] of this.#histories) {
      const spans = current ? [current, ...ended] : ended;
      if (spans.some(span => mayHaveRun(span, service, issuedWallMs))) {
        runners.push(vmId);
      }
    }
    return runners;
  }

  #update(members: ReadonlyMap<VmId, MemberView>): void {
    const nowWallMs = this.#clock.wallMs();
    for (const member of members.values()) {
      this.#record(member, nowWallMs);
    }
    for (const [vmId, history] of this.#histories) {
      if (!members.has(vmId)) {
        this.#endCurrent(history, nowWallMs + TAKEOVER_DELAY_MS);
      }
      this.#prune(vmId, history);
    }
  }

  #record(member: MemberView, nowWallMs: number): void {
    const history = this.#histories.get(member.vmId) ?? {ended: []};
    this.#histories.set(member.vmId, history);
    const {current} = history;
    if (!current || !isSameProcess(current, member)) {
      // The former process ended before the new one started to serve.
      this.#endCurrent(
        history,
        member.servingSinceWallMs + PROVEN_EXIT_MARGIN_MS,
      );
      history.current = {
        service: member.service,
        servingSinceWallMs: member.servingSinceWallMs,
        untilWallMs: Infinity,
      };
    }
    const span = history.current!;
    span.goneSeenWallMs = member.goneProved
      ? (span.goneSeenWallMs ?? nowWallMs)
      : undefined;
    span.untilWallMs = untilOf(member, span.goneSeenWallMs, nowWallMs);
  }

  #endCurrent(history: VmHistory, untilWallMs: number): void {
    const {current, ended} = history;
    if (!current) {
      return;
    }
    current.untilWallMs = Math.min(current.untilWallMs, untilWallMs);
    current.endedMonotonicMs = this.#clock.monotonicMs();
    ended.push(current);
    history.current = undefined;
    if (ended.length > MAX_ENDED_SPANS) {
      history.ended = mergeOldest(ended);
    }
  }

  #prune(vmId: VmId, history: VmHistory): void {
    const oldestMs = this.#clock.monotonicMs() - RETENTION_MS;
    history.ended = history.ended.filter(
      span => span.endedMonotonicMs! > oldestMs,
    );
    if (!history.current && history.ended.length === 0) {
      this.#histories.delete(vmId);
    }
  }
}

function isSameProcess(span: ServingSpan, member: MemberView): boolean {
  return (
    span.service === member.service &&
    span.servingSinceWallMs === member.servingSinceWallMs
  );
}

function mergeOldest(spans: readonly ServingSpan[]): ServingSpan[] {
  const [first, second, ...rest] = spans;
  const merged = {
    ...second!,
    servingSinceWallMs: Math.min(
      first!.servingSinceWallMs,
      second!.servingSinceWallMs,
    ),
    untilWallMs: Math.max(first!.untilWallMs, second!.untilWallMs),
  };
  return [merged, ...rest];
}

function untilOf(
  member: MemberView,
  goneSeenWallMs: number | undefined,
  nowWallMs: number,
): number {
  if (member.state !== 'dead') {
    return Infinity;
  }
  const takenOverMs = (member.deadSinceWallMs ?? nowWallMs) + TAKEOVER_DELAY_MS;
  return goneSeenWallMs === undefined
    ? takenOverMs
    : Math.min(takenOverMs, goneSeenWallMs + PROVEN_EXIT_MARGIN_MS);
}

function mayHaveRun(
  span: ServingSpan,
  service: ServiceName,
  issuedWallMs: number,
): boolean {
  return (
    span.service === service &&
    issuedWallMs >= span.servingSinceWallMs + SETTLING_PERIOD_MS &&
    issuedWallMs < span.untilWallMs
  );
}
