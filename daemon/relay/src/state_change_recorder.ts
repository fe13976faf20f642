import type {PeerChange} from '@carobseam/calls.relay';
import type {MeshStateChange, SourceRevision} from '@carobseam/config.mesh';
import type {LogFields} from '@carobseam/core.logger';
import type {Metrics} from '@carobseam/core.metrics';
import type {RateLimitedLog} from './rate_limited_log.js';

const MS_PER_S = 1000;

type ChangeOfKind<Kind extends MeshStateChange['kind']> = Extract<
  MeshStateChange,
  {kind: Kind}
>;

const LINES: {
  [Kind in MeshStateChange['kind']]: (
    change: ChangeOfKind<Kind>,
  ) => [event: string, fields: LogFields];
} = {
  config: ({version, ageMs}) => ['config_in_force', {version, ageMs}],
  worker: ({worker}) => [
    'worker_seen',
    {
      worker: worker.id,
      service: worker.service,
      dataCentre: worker.dataCentre,
      isLeaving: worker.isLeaving,
      coldRemainingMs: worker.coldRemainingMs,
    },
  ],
  workerRemoved: ({id}) => ['worker_removed', {worker: id}],
  removalHeld: ({id, origin}) => ['removal_held', {worker: id, origin}],
  restoredEntryIgnored: ({id}) => ['restored_entry_ignored', {worker: id}],
  sourceRestored: ({era}) => ['source_restored', {era}],
};

const VM_EVENTS: Record<PeerChange, string> = {
  down: 'vm_lost',
  ended: 'vm_relay_ended',
  up: 'vm_regained',
  left: 'vm_left',
};

/** Records the changes of the mesh state and of other VMs in the log and in the metrics. */
export class StateChangeRecorder {
  readonly #log: RateLimitedLog;
  readonly #metrics: Metrics;

  constructor(log: RateLimitedLog, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** @param revision revision of the source that brought the change. */
  record(change: MeshStateChange, revision: SourceRevision): void {
    const [event, fields] = LINES[change.kind](change as never);
    this.#log.logger.info(event, {...fields, revision});
    if (change.kind === 'config') {
      this.#metrics.set('carobseam_relay_config_version', change.version);
      this.#metrics.observe(
        'carobseam_relay_config_age_seconds',
        change.ageMs / MS_PER_S,
      );
    } else if (change.kind === 'sourceRestored') {
      this.#metrics.set('carobseam_relay_source_era', change.era);
    }
  }

  /** @param downCount number of VMs that are down after the change. */
  recordVm(vmAddress: string, change: PeerChange, downCount: number): void {
    this.#metrics.set('carobseam_relay_vms_down', downCount);
    this.#log.logger.info(VM_EVENTS[change], {vmAddress});
  }
}
