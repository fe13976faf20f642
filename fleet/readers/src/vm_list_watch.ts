import type {DaemonBlackboard, VmListHint} from '@carobseam/core.blackboard';
import type {Logger} from '@carobseam/core.logger';
import type {RateLimitedPlatform} from './rate_limited_platform.js';
import {MAX_LISTED_VMS} from './vm_list_codec.js';
import type {ReadMode, WatchStep} from './watch_loop.js';

/** Options of a `VmListWatch`. */
export interface VmListWatchOptions {
  platform: RateLimitedPlatform;
  watchWaitMs: number;
  blackboard: DaemonBlackboard;
  logger: Logger;
  /** Broadcasts the new list as a difference from the previous one; called in readers only. */
  broadcast: (previous: VmListHint) => void;
}

/** Combines the many changes of a mass failure into a few lists. */
const MIN_INTERVAL_MS = 250;

/** Watches or reads the platform's list of VMs and writes it to the blackboard slot `vmList`. */
export class VmListWatch implements WatchStep {
  readonly #options: VmListWatchOptions;

  constructor(options: VmListWatchOptions) {
    this.#options = options;
  }

  async step(mode: ReadMode, signal: AbortSignal): Promise<number> {
    const {platform, watchWaitMs, blackboard} = this.#options;
    const {index} = blackboard.read('vmList');
    const isWatch = mode === 'reader' && index > 0;
    const list = await platform.listVms(
      isWatch ? {afterIndex: index, waitMs: watchWaitMs, signal} : {signal},
    );
    if (!signal.aborted) {
      this.#applyList(list, mode);
    }
    return MIN_INTERVAL_MS;
  }

  #applyList(list: VmListHint, mode: ReadMode): void {
    const {blackboard, logger, broadcast} = this.#options;
    const previous = blackboard.read('vmList');
    if (list.index <= previous.index) {
      return;
    }
    if (list.vms.length > MAX_LISTED_VMS) {
      const fields = {vms: list.vms.length, limit: MAX_LISTED_VMS};
      logger.error('vm_list_oversized', fields);
      return;
    }
    blackboard.write('vmList', {index: list.index, vms: list.vms});
    if (mode === 'reader') {
      broadcast(previous);
    }
  }
}
