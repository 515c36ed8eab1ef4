import * as test from 'node:test';
import * as earl from 'earl';
import * as settings from '../../platform/settings.js';
import * as kinds from '../support/errors/getErrorKind.js';

const TEXT = `
NodeName=front-1
IpAddress=10.1.0.7
Zone=amman-jabal
Region=amman
Zones.amman-jabal=amman
Zones.aqaba-port=aqaba
ListenAddresses.Front=10.1.0.7:8668
ListenAddresses.Ready=10.1.0.7:8666
ListenAddresses.Directory=10.1.0.7:8665
InternalPortRange=7220,7235
HeartbeatInterval=1200ms
Limits.MemoryMb=350
SomethingNew=with=equals
Bounds=Drain=2500ms,GracePeriod=6s,RetryBudgetRatio=0.25,BudgetSlack=60,QuotaWindow=5s
Platform.Address=10.200.1.7:8669
`;

void test.describe('parsePlatformSettings', () => {
  void test.it(
    'parses the settings that the process uses and ignores others',
    () => {
      const {entry, storeAddress} = settings.parsePlatformSettings(TEXT);
      earl.expect(storeAddress).toEqual('10.200.1.7:8669');
      earl.expect(entry.peers).toEqual({host: '10.1.0.7', port: 7220});
      earl.expect(entry.regions.get('aqaba-port')).toEqual('aqaba');
      earl.expect(entry.bounds.maxDrainDelayMs).toEqual(2500);
      earl.expect(entry.bounds.gracePeriodMs).toEqual(6000);
      earl.expect(entry.bounds.heartbeatIntervalMs).toEqual(1200);
      earl.expect(entry.bounds.retryRatio).toEqual(0.25);
      earl.expect(entry.memoryBytes).toEqual(350_000_000);
      earl.expect(entry.logLevel).toEqual('info');
    },
  );

  // Guards against a start that fails, or a VM with a weight of NaN, where the platform states no or odd resources.
  void test.it('parses the resources of the VM only if all are stated', () => {
    const limits =
      'Limits.CpuShare=0.675\nLimits.Cores=2\nLimits.LinkMbps=200\nLimits.MemoryMb=602\n';
    const getCapacity = (text: string) =>
      settings.parsePlatformSettings(TEXT + text).entry.capacity;
    earl
      .expect(getCapacity(limits))
      .toEqual({processorCount: 1.35, linkMbps: 200, memoryMb: 602});
    earl.expect(getCapacity('')).toEqual(undefined);
    for (const [from, to] of [
      ['Cores=2', 'Cores=two'],
      ['LinkMbps=200', 'LinkMbps=0'],
      ['Limits.LinkMbps=200\n', ''],
    ])
      earl.expect(getCapacity(limits.replace(from, to))).toEqual(undefined);
  });

  void test.it(
    'asks for admission by priority only where the settings name it',
    () => {
      const getKind = (line: string) =>
        settings.parsePlatformSettings(`${TEXT}${line}\n`).entry.admission.kind;
      earl.expect(getKind('')).toEqual('equal');
      earl.expect(getKind('Contracts=drain, pressure')).toEqual('equal');
      earl.expect(getKind('Admission=fair')).toEqual('equal');
      earl.expect(getKind('Admission=byPriority')).toEqual('byPriority');
    },
  );

  void test.it(
    'designates upstreams only where the settings ask for it',
    () => {
      const getKind = (line: string) =>
        settings.parsePlatformSettings(`${TEXT}${line}\n`).entry.loadSpread
          .kind;
      earl.expect(getKind('')).toEqual('first');
      earl.expect(getKind('LoadSpread=even')).toEqual('first');
      earl.expect(getKind('LoadSpread=designated')).toEqual('designated');
    },
  );

  void test.it('names the missing or invalid field in the error', () => {
    const parse = (from: string, to: string) => () =>
      settings.parsePlatformSettings(TEXT.replace(from, to));
    earl
      .expect(parse('Region=amman\n', ''))
      .toThrow(Error, 'Region: is missing');
    earl.expect(parse('8668', 'x')).toThrow(Error, 'Front: "10.1.0.7:x"');
    earl
      .expect(parse('Drain=2500ms', 'Drain=soon'))
      .toThrow(Error, 'Bounds.Drain: not a duration');
    earl
      .expect(() => settings.parsePlatformSettings(TEXT, 'loud'))
      .toThrow(Error, '"loud"');
    for (const parseInvalid of [
      parse('8668', 'x'),
      parse('Drain=2500ms', 'Drain=soon'),
      parse('HeartbeatInterval=1200ms', 'HeartbeatInterval=often'),
      parse('MemoryMb=350', 'MemoryMb=much'),
    ])
      earl.expect(kinds.getErrorKind(parseInvalid)).toEqual('invalidSettings');
  });
});
