import type {Ledger, Run} from './ledger.js';
import {GRACE_MS, isCutSince, type SoakVm} from './soak_mesh.js';

/** An answer by so much before the timeout is not one for it, in ms. */
export const EARLY_MS = 200;
const LAST_SIXTH_MS = (GRACE_MS * 5) / 6; // from which a relay that stops may end requests
const LATEST_SENT_MS = 3000; // after SIGTERM, of requests that it may end

/** A request that ended with an answer of a relay's own, or with none. */
export interface EndedRequest {
  id: string;
  /** VM whose relay took it from the caller. */
  vm: SoakVm;
  /** When SIGTERM was last sent to that relay before the end. */
  stopMs: number;
  /** Times on `performance.now`, in ms. */
  sentMs: number;
  endMs: number;
  timeoutMs: number;
  /** The status, or how it ended without one. */
  end: string | number;
}

/** Whether a request was lost, and what it says about it. */
export type Loss =
  {kind: 'none' | 'excused'} | {kind: 'lost' | 'lostAtStop'; text: string};

/**
 * Whether relays ended a request early though a worker ran it and nothing on its
 * way was killed or cut. A relay that stops may end those at which the worker is
 * still at work in the last sixth of the grace.
 */
export function findLoss(
  request: EndedRequest,
  ledger: Ledger,
  vms: readonly SoakVm[],
): Loss {
  const {id, vm, sentMs, endMs, timeoutMs} = request;
  const isInTime = endMs - sentMs <= timeoutMs - EARLY_MS;
  const run = ledger
    .runsOf(id)
    .find(
      ({vmIndex, ending}) =>
        ending !== 'spoiled' && !isCutSince(vms[vmIndex]!, sentMs),
    );
  if (!isInTime || !run || isCutSince(vm, sentMs)) {
    return {kind: 'none'};
  }
  if (mayEndAtStop(request, run)) {
    return {kind: 'excused'};
  }
  return {
    kind: isStopping(vm, endMs) ? 'lostAtStop' : 'lost',
    text:
      describeLoss(request, run, vms[run.vmIndex]!) +
      (ledger.runsOf(id).length > 1 ? ', sent again' : ''),
  };
}

function mayEndAtStop({stopMs, sentMs}: EndedRequest, run: Run): boolean {
  const workEndMs = run.endMs ?? Infinity;
  return (
    sentMs <= stopMs + LATEST_SENT_MS && workEndMs >= stopMs + LAST_SIXTH_MS
  );
}

/** Whether a relay's grace was under way, or its restart. */
export function isStopping(vm: SoakVm, atMs: number): boolean {
  return vm.stopMs <= atMs && atMs <= vm.stopMs + GRACE_MS + 1000;
}

function describeLoss(
  {vm, sentMs, endMs, end}: EndedRequest,
  run: Run,
  workerVm: SoakVm,
): string {
  const after = (ms: number) => `${Math.round(ms - sentMs)} ms`;
  const work = run.endMs
    ? `${run.ending} after ${after(run.endMs)}`
    : 'still at work';
  const sent = new Date(performance.timeOrigin + sentMs).toISOString();
  const stops = [...new Set([vm, workerVm])]
    .filter(({stopMs}) => endMs - stopMs <= 2 * GRACE_MS)
    .map(
      ({index, stopMs}) =>
        `, SIGTERM of vm-${index} ${Math.round(endMs - stopMs)} ms before the end`,
    );
  return (
    `lost: ${end} from vm-${vm.index} after ${after(endMs)}, sent ${sent}, ` +
    `run by ${run.workerId} after ${after(run.startMs)}, ${work}${stops.join('')}`
  );
}
