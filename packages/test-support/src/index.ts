export {Cluster, type ClusterOptions} from './cluster/cluster.ts';
export {
	daemonBinary,
	DaemonProcess,
	type ExitStatus,
} from './cluster/daemon-process.ts';
export {reservePort} from './cluster/reserve-port.ts';
export {fastTiming, type SettingsOverrides} from './cluster/write-settings.ts';
export {
	defaultEngineOptions,
	type EngineFault,
	type EngineOptions,
} from './engine/engine-options.ts';
export {type EngineOrder, type EngineState} from './engine/engine-orders.ts';
export {
	countAnswerTokens,
	CHARACTERS_PER_TOKEN,
	type ChatMessage,
	countTokens,
	generateText,
	generateToken,
	joinPrompt,
} from './engine/generate-text.ts';
export {FakeEngine, type ReceivedCall} from './engine/fake-engine.ts';
export {FakeHttpServer} from './fake-http-server.ts';
export {closeServer, listenOnLoopback} from './listen-on-loopback.ts';
export {
	type Execution,
	FakeService,
	type ServiceFault,
} from './fake-service.ts';
export {type ProxyDirection, TcpProxy} from './tcp-proxy.ts';
export {type ListedVm, FakeVmList} from './fake-vm-list.ts';
export {type EndlessWrite, sendWithoutEnd} from './send-without-end.ts';
export {type EarlyAnswer, EarlyAnswerServer} from './early-answer-server.ts';
export {type ReceivedAnswer, sendUpload} from './send-upload.ts';
export {waitFor} from './wait-for.ts';
export {runReadmeExample} from './run-readme-example.ts';
export {FakeWeightStore} from './fake-weight-store.ts';
export {
	type Answer,
	type ApiError,
	Caller,
	type CallOptions,
	errorOf,
	type ModelCallOptions,
	type ProgramRequest,
} from './test-bed/caller.ts';
export {
	createEngineResource,
	createSelectorResource,
	createServiceResource,
	operationsByService,
	type ResourceObject,
} from './test-bed/create-resources.ts';
export {
	commandLineBinary,
	type CommandResult,
	runCommand,
} from './test-bed/run-command.ts';
export type {StreamedCall, StreamResult} from './test-bed/streamed-call.ts';
export {TestBed, type TestBedOptions} from './test-bed/test-bed.ts';
