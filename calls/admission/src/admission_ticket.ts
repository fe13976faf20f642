import type {RefusalReason} from '@carobseam/calls.types';
import type {OperationClass} from '@carobseam/config.types';
import type {Timer} from '@carobseam/core.types';

/** Why a call is refused instead of getting a slot. */
export type AdmissionRefusal = Extract<
  RefusalReason,
  'queue_full' | 'deadline_too_short' | 'deadline_exceeded' | 'worker_down'
>;

/** A call that needs a slot of the worker. */
export interface AdmissionCall {
  readonly operationClass: OperationClass;
  /** Monotonic time by which the response must have arrived, ms. */
  readonly deadlineMs: number;
  /** Limit of the queue for calls of this class. */
  readonly queueLength: number;
  /** The call has a slot, which it holds until its ticket is released. */
  onStarted(): void;
  /** The call was refused; its ticket needs no release. */
  onRefused(reason: AdmissionRefusal, retryAfterMs?: number): void;
}

/** State of one call in the admission controller. */
export class AdmissionTicket {
  readonly call: AdmissionCall;
  state: 'new' | 'queued' | 'running' | 'ended' = 'new';
  submittedMs = 0;
  startedMs = 0;
  timer?: Timer;

  constructor(call: AdmissionCall) {
    this.call = call;
  }
}
