import * as fs from 'node:fs';
import * as test from 'node:test';
import * as earl from 'earl';
import * as codecs from '../../../src/codecs/index.js';
import * as errors from '../../../src/model/errors/index.js';

const EXAMPLE = fs.readFileSync('examples/single.toml', 'utf8');

function getParseError(text: string): errors.BramleyrunError {
  try {
    codecs.parseSettings(text);
  } catch (thrown) {
    return errors.toError(thrown);
  }
  throw new Error('the settings were accepted');
}

void test.describe('parseSettings', () => {
  void test.it('accepts every example', () => {
    for (const folder of ['examples/miftah', 'examples/guild'])
      for (const file of fs.readdirSync(folder))
        if (file.endsWith('.toml'))
          codecs.parseSettings(fs.readFileSync(`${folder}/${file}`, 'utf8'));
    const {vm} = codecs.parseSettings(EXAMPLE);
    earl.expect(vm.vmId).toEqual('local-1');
  });

  void test.it('reports the path of an unknown field', () => {
    const error = getParseError(EXAMPLE.replace('[vm]', '[vm]\nzone = "x"'));
    earl.expect(error.kind).toEqual('invalidSettings');
    earl.expect(error.fieldPath).toEqual('vm.zone');
  });

  void test.it('reports the path of a field with an invalid value', () => {
    const withZeroSlots = EXAMPLE.replace('slotCount = 1', 'slotCount = 0');
    earl
      .expect(getParseError(withZeroSlots).fieldPath)
      .toEqual('fleet.slotCount');
    const port = EXAMPLE.replace('127.0.0.1:8081', '127.0.0.1:99999');
    earl.expect(getParseError(port).fieldPath).toEqual('listeners.operators');
  });

  void test.it('reports the line of a TOML syntax error', () => {
    const error = getParseError('a = 1\nb = = 2\n');
    earl.expect(error.message.startsWith('line 2')).toEqual(true);
  });
});
