/**
 * The parts of undici that the entry program uses. The package's index also loads its mocks, proxies, caches and
 * WebSockets, which took 25 ms of processor time at each start.
 */
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import errors from 'undici/lib/core/errors.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

Object.assign(Dispatcher.prototype, api);

export {Client, Pool, buildConnector, errors};
