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
	answerTokens,
	CHARACTERS_PER_TOKEN,
	type ChatMessage,
	countTokens,
	generateText,
	generateToken,
	promptText,
} from './engine/generate-text.ts';
export {ModelEngine, type ReceivedCall} from './engine/model-engine.ts';
export {HttpStandIn} from './http-stand-in.ts';
export {closeServer, listenOnLoopback} from './listen-on-loopback.ts';
export {
	type Execution,
	PlainService,
	type ServiceFault,
} from './plain-service.ts';
export {type ProxyDirection, TcpProxy} from './tcp-proxy.ts';
export {type ListedVm, VmList} from './vm-list.ts';
export {waitFor} from './wait-for.ts';
export {runReadmeExample} from './run-readme-example.ts';
export {WeightStore} from './weight-store.ts';
export {
	type Answer,
	type ApiError,
	Caller,
	type CallOptions,
	errorOf,
	type ModelCallOptions,
	type ProgramRequest,
} from './bed/caller.ts';
export {
	describeEngine,
	describeSelector,
	describeService,
	deskOperations,
	type PlainResource,
} from './bed/describe-upstreams.ts';
export {
	commandLineBinary,
	type CommandResult,
	runCommand,
} from './bed/run-command.ts';
export type {StreamedCall, StreamResult} from './bed/streamed-call.ts';
export {TestBed, type TestBedOptions} from './bed/test-bed.ts';
