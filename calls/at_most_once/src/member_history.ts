import type {DaemonBlackboard, MemberView} from '@carobseam/core.blackboard';
import type {Clock, ServiceName, VmId} from '@carobseam/core.types';
import {
  PROVEN_EXIT_MARGIN_MS,
  KEY_VALIDITY_MS,
  SETTLING_PERIOD_MS,
  TAKEOVER_DELAY_MS,
} from './limits.js';

/** Range of issue times of the keys that one process may have executed. */
interface ServingSpan {
  readonly service: ServiceName;
  readonly servingSinceWallMs: number;
  /** End of the range, exclusive. */
  untilWallMs: number;
  /** Local wall time at which its exit was proved here. */
  exitSeenWallMs?: number;
  /** Local monotonic time at which the process was replaced or removed. */
  endedMonotonicMs?: number;
}

interface VmHistory {
  /** Span of the current process; absent while the VM is not a member. */
  current?: ServingSpan;
  ended: ServingSpan[];
}

// Ended spans per VM. Beyond it, the oldest two are merged into a wider one.
const MAX_ENDED_SPANS = 16;

/**
 * Keys of an ended span were issued at most the takeover delay after its end
 * and are refused as too old after their validity. A second delay is the
 * margin.
 */
const RETENTION_MS = KEY_VALIDITY_MS + 2 * TAKEOVER_DELAY_MS;

/**
 * Records which processes of the data centre may have executed a key of a given
 * issue time, including processes that have restarted or whose VM is no longer
 * a member.
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

  /** Stops observing the members. */
  close(): void {
    this.#stopObserving();
  }

  /** Returns the VMs with a process that may have executed the key. */
  possibleExecutors(service: ServiceName, issuedWallMs: number): VmId[] {
    const executors: VmId[] = [];
    for (const [vmId, {current, ended}] of this.#histories) {
      const spans = current ? [current, ...ended] : ended;
      if (spans.some(span => mayHaveExecuted(span, service, issuedWallMs))) {
        executors.push(vmId);
      }
    }
    return executors;
  }

  #update(members: ReadonlyMap<VmId, MemberView>): void {
    const nowWallMs = this.#clock.wallMs();
    for (const member of members.values()) {
      this.#recordMember(member, nowWallMs);
    }
    for (const [vmId, history] of this.#histories) {
      if (!members.has(vmId)) {
        this.#endCurrentSpan(history, nowWallMs + TAKEOVER_DELAY_MS);
      }
      this.#removeExpiredSpans(vmId, history);
    }
  }

  #recordMember(member: MemberView, nowWallMs: number): void {
    const history = this.#histories.get(member.vmId) ?? {ended: []};
    this.#histories.set(member.vmId, history);
    const {current} = history;
    if (!current || !isSameProcess(current, member)) {
      // The previous process exited before the new one started to serve.
      this.#endCurrentSpan(
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
    span.exitSeenWallMs = member.goneProved
      ? (span.exitSeenWallMs ?? nowWallMs)
      : undefined;
    span.untilWallMs = computeUntilWallMs(
      member,
      span.exitSeenWallMs,
      nowWallMs,
    );
  }

  #endCurrentSpan(history: VmHistory, untilWallMs: number): void {
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

  #removeExpiredSpans(vmId: VmId, history: VmHistory): void {
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

function computeUntilWallMs(
  member: MemberView,
  exitSeenWallMs: number | undefined,
  nowWallMs: number,
): number {
  if (member.state !== 'dead') {
    return Infinity;
  }
  const takenOverMs = (member.deadSinceWallMs ?? nowWallMs) + TAKEOVER_DELAY_MS;
  return exitSeenWallMs === undefined
    ? takenOverMs
    : Math.min(takenOverMs, exitSeenWallMs + PROVEN_EXIT_MARGIN_MS);
}

function mayHaveExecuted(
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
