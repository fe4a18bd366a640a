package calicovale.manager;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Owns the handling of signals. The platform's only way to them is a class that the compiler warns of whatever is said, so it is
 * reached by name, as terminal libraries do.
 */
final class SignalHandlers {

    private SignalHandlers() {}

    /** Calls {@code body}, on a thread of its own, whenever the signal comes. */
    static void on(String signalName, Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.getName().equals("equals")
                                ? (Object) (self == args[0])
                                : method.getName().equals("hashCode")
                                        ? (Object) System.identityHashCode(self)
                                        : signalName;
                    });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance(signalName), handler);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new IllegalStateException("signal " + signalName + " cannot be handled", e);
        }
    }
}
