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

/** Binds the objects that read the platform. */
export function bindReaders(container: Container): void {
  bindSingleton(container, tokens.callRateLimiter, context => {
    const {platform, fleetSizeHint} = settingsOf(context);
    return new CallRateLimiter({
      callsPerSecond: platform.fleetCallsPerSecond / 2 / fleetSizeHint,
      burst: 1,
      ...commonDependencies(context),
    });
  });
  bindSingleton(
    container,
    tokens.rateLimitedPlatform,
    context =>
      new RateLimitedPlatform({
        reader: context.get<PlatformReader>(tokens.platformReader),
        rateLimiter: context.get<CallRateLimiter>(tokens.callRateLimiter),
        timeoutMs: settingsOf(context).platform.timeoutMs,
        ...commonDependencies(context),
      }),
  );
  bindSingleton(container, tokens.readerController, createReaderController);
}

function createReaderController(context: ResolutionContext): ReaderController {
  const {platform, vmId, dataCentre, fleetSizeHint} = settingsOf(context);
  const dependencies = commonDependencies(context);
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
    rateLimiter: context.get<CallRateLimiter>(tokens.callRateLimiter),
    peerActivity: context.get<PeerActivity>(tokens.peerActivity),
    contactPeer: () => {
      const peer = chooseRandomPeer(
        dependencies.blackboard,
        dependencies.random,
        vmId,
      );
      if (peer) {
        dissemination.exchangeVersions(peer).catch(() => {});
      }
    },
    ...dependencies,
  });
}

function createVersionWatch(context: ResolutionContext): VersionWatch {
  const {keyPrefix, watchWaitMs} = settingsOf(context).platform;
  const platform = context.get<RateLimitedPlatform>(tokens.rateLimitedPlatform);
  const dissemination = context.get<DisseminationController>(
    tokens.dissemination,
  );
  const deferredVersions = new DeferredVersions<VersionContents>({
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
    offer: contents => deferredVersions.offer(contents),
    ...commonDependencies(context),
  });
}

function createVmListWatch(context: ResolutionContext): VmListWatch {
  const broadcaster = context.get<VmListBroadcaster>(tokens.vmListBroadcaster);
  return new VmListWatch({
    platform: context.get<RateLimitedPlatform>(tokens.rateLimitedPlatform),
    watchWaitMs: settingsOf(context).platform.watchWaitMs,
    broadcast: previous => broadcaster.broadcast(previous),
    ...commonDependencies(context),
  });
}

function chooseRandomPeer(
  blackboard: DaemonBlackboard,
  random: RandomSource,
  ownVmId: VmId,
) {
  const peers = [...blackboard.read('members').values()].filter(
    member => member.vmId !== ownVmId && member.state !== 'dead',
  );
  return peers[random.nextInt(peers.length)];
}
