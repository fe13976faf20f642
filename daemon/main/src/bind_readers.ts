import type {VersionContents} from '@carobseam/config.types';
import type {DaemonBlackboard} from '@carobseam/core.blackboard';
import type {RandomSource, VmId} from '@carobseam/core.types';
import type {DisseminationController} from '@carobseam/fleet.dissemination';
import {
  RateLimitedPlatform,
  CallRateLimiter,
  PeerActivity,
  PlatformVersionSource,
  ReaderController,
  VersionWatch,
  VmListWatch,
  type VmListBroadcaster,
} from '@carobseam/fleet.readers';
import {DeferredVersions} from '@carobseam/fleet.recovery';
import type {PlatformReader} from '@carobseam/config.published_reader';
import type {Container, ResolutionContext} from 'inversify';
import {
  bindSingleton,
  commonDependencies,
  settingsOf,
} from './container_helpers.js';
import {tokens} from './tokens.js';

/** Wires the reading of the platform. */
export function bindReaders(container: Container): void {
  bindSingleton(container, tokens.callBudget, context => {
    const {platform, fleetSizeHint} = settingsOf(context);
    return new CallRateLimiter({
      callsPerSecond: platform.fleetCallsPerSecond / 2 / fleetSizeHint,
      burst: 1,
      ...commonDependencies(context),
    });
  });
  bindSingleton(
    container,
    tokens.budgetedPlatform,
    context =>
      new RateLimitedPlatform({
        reader: context.get<PlatformReader>(tokens.platformReader),
        rateLimiter: context.get<CallRateLimiter>(tokens.callBudget),
        timeoutMs: settingsOf(context).platform.timeoutMs,
        ...commonDependencies(context),
      }),
  );
  bindSingleton(container, tokens.readerController, createReaderController);
}

function createReaderController(context: ResolutionContext): ReaderController {
  const {platform, vmId, dataCentre, fleetSizeHint} = settingsOf(context);
  const parts = commonDependencies(context);
  const dissemination = context.get<DisseminationController>(
    tokens.dissemination,
  );
  return new ReaderController({
    vmId,
    dataCentre,
    readerCount: platform.readersPerDataCentre,
    fleetCallsPerSecond: platform.fleetCallsPerSecond,
    fleetSizeHint,
    versionWatch: createVersionWatch(context),
    vmListWatch: createVmListWatch(context),
    rateLimiter: context.get<CallRateLimiter>(tokens.callBudget),
    contact: context.get<PeerActivity>(tokens.peerContact),
    contactPeer: () => {
      const peer = randomPeer(parts.blackboard, parts.random, vmId);
      if (peer) {
        dissemination.exchangeVersions(peer).catch(() => {});
      }
    },
    ...parts,
  });
}

function createVersionWatch(context: ResolutionContext): VersionWatch {
  const {keyPrefix, watchWaitMs} = settingsOf(context).platform;
  const platform = context.get<RateLimitedPlatform>(tokens.budgetedPlatform);
  const dissemination = context.get<DisseminationController>(
    tokens.dissemination,
  );
  const offers = new DeferredVersions<VersionContents>({
    blackboard: commonDependencies(context).blackboard,
    offer: contents => dissemination.applyPlatformVersion(contents),
  });
  return new VersionWatch({
    platform,
    source: new PlatformVersionSource({platform, keyPrefix}),
    keyPrefix,
    watchWaitMs,
    checkVersion: (version, digest) =>
      dissemination.checkVersion(version, digest),
    offer: contents => offers.offer(contents),
    ...commonDependencies(context),
  });
}

function createVmListWatch(context: ResolutionContext): VmListWatch {
  const spreader = context.get<VmListBroadcaster>(tokens.vmListSpreader);
  return new VmListWatch({
    platform: context.get<RateLimitedPlatform>(tokens.budgetedPlatform),
    watchWaitMs: settingsOf(context).platform.watchWaitMs,
    broadcast: previous => spreader.broadcast(previous),
    ...commonDependencies(context),
  });
}

function randomPeer(
  blackboard: DaemonBlackboard,
  random: RandomSource,
  self: VmId,
) {
  const peers = [...blackboard.read('members').values()].filter(
    member => member.vmId !== self && member.state !== 'dead',
  );
  return peers[random.nextInt(peers.length)];
}
